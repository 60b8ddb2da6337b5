package waytrestle.platform;

import java.io.IOException;

/**
 * Opens resources that a controller cannot start without, and retries failed attempts for up to
 * three seconds: sockets and file descriptors may be unavailable for a moment.
 *
 * <p>Blocks the calling thread; used by the thread that starts the controller, before its event
 * loop runs.
 */
final class StartRetry {
    /**
     * Time for which a failed opening is retried: far longer than a momentary shortage, far shorter
     * than the time within which a controller has to be ready.
     */
    private static final long RETRY_TIMEOUT_NANOS = 3_000_000_000L;

    private static final long RETRY_DELAY_MILLIS = 20;

    /** Opens a resource, such as a socket. */
    interface ResourceOpener<T> {
        T open() throws IOException;
    }

    private final PlatformLog log;

    StartRetry(PlatformLog log) {
        this.log = log;
    }

    /**
     * Opens a resource and logs each failed attempt that is retried.
     *
     * @param resourceName names the resource in the log
     * @return what the opener returns, which may be null
     * @throws IOException the exception of the last attempt if the resource could not be opened
     *     within the retry timeout, or if the thread was interrupted between attempts
     */
    <T> T open(String resourceName, ResourceOpener<T> opener) throws IOException {
        long startNanos = System.nanoTime();
        while (true) {
            try {
                return opener.open();
            } catch (IOException e) {
                if (System.nanoTime() - startNanos > RETRY_TIMEOUT_NANOS) {
                    throw e;
                }
                log.logMessage(
                        new LogLine("start.retried")
                                .with("what", resourceName)
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
            throw new IOException("interrupted while waiting to retry the start", e);
        }
    }
}
