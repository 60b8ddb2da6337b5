package waytrestle.platform;

import java.io.IOException;

/**
 * Opens what a controller cannot start without, again and again for a while: sockets and
 * descriptors may be lacking for a moment.
 *
 * <p>Blocks the calling thread; used by the thread that starts the controller, before its event
 * loop runs.
 */
final class StartRetry {
    /** Far above a moment's lack, far below the time in which a controller has to be ready. */
    private static final long RETRY_TIMEOUT_NANOS = 3_000_000_000L;

    private static final long RETRY_DELAY_MILLIS = 20;

    /** Opens something. */
    interface ResourceOpener<T> {
        T open() throws IOException;
    }

    private final PlatformLog log;

    StartRetry(PlatformLog log) {
        this.log = log;
    }

    /**
     * Opens it.
     *
     * @param what names it in the log
     * @throws IOException of the last attempt, when it cannot be opened for as long as the patience
     */
    <T> T open(String what, ResourceOpener<T> opening) throws IOException {
        long begin = System.nanoTime();
        while (true) {
            try {
                return opening.open();
            } catch (IOException e) {
                if (System.nanoTime() - begin > RETRY_TIMEOUT_NANOS) {
                    throw e;
                }
                log.logMessage(
                        new LogLine("start.retried")
                                .with("what", what)
                                .with("error", e.getMessage())
                                .toString());
            }
            pause();
        }
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(RETRY_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting", e);
        }
    }
}
