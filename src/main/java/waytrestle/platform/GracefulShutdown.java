package waytrestle.platform;

import waytrestle.controller.Controller;
import waytrestle.front.platform.PlatformFrontEnd;
import waytrestle.http.HttpServer;
import waytrestle.net.Loop;

/**
 * Shuts a controller down: takes requests for as long as clients may still send them, completes
 * those in flight, then stops the event loop.
 *
 * <p>State is owned by the event loop; {@link #start} may be called from any thread.
 */
final class GracefulShutdown {
    /** Time after the signal in which the platform still routes requests here. */
    private static final long ACCEPT_DURATION_MICROS = 800_000;

    /** Time between checks of what is still in flight after that. */
    private static final long COMPLETION_CHECK_INTERVAL_MICROS = 10_000;

    /**
     * Time without a request in flight that partial requests, and responses still being read, are
     * given: as long as a message may take.
     */
    private static final long PARTIAL_MESSAGE_TIMEOUT_MICROS = 2_000_000;

    /** Time at the end for the last responses to leave. */
    private static final long FLUSH_DELAY_MICROS = 100_000;

    private final Loop loop;
    private final PlatformFrontEnd frontEnd;
    private final HttpServer server;
    private final Controller controller;
    private boolean started;
    private long lastInFlightMicros;

    GracefulShutdown(
            Loop loop, PlatformFrontEnd frontEnd, HttpServer server, Controller controller) {
        this.loop = loop;
        this.frontEnd = frontEnd;
        this.server = server;
        this.controller = controller;
    }

    /**
     * Starts the shutdown and returns at once; later calls do nothing. May be called from any
     * thread.
     */
    void start() {
        loop.execute(this::startOnLoop);
    }

    private void startOnLoop() {
        if (started) {
            return;
        }
        started = true;
        frontEnd.startShutdown();
        server.closeAfterResponses();
        loop.after(ACCEPT_DURATION_MICROS, this::stopAccepting);
    }

    private void stopAccepting() {
        server.stopAccepting();
        server.closeIdle();
        lastInFlightMicros = Loop.nowMicros();
        awaitCompletion();
    }

    private void awaitCompletion() {
        long now = Loop.nowMicros();
        boolean inFlight = controller.inFlight() > 0;
        if (inFlight) {
            lastInFlightMicros = now;
        }
        boolean partialMessages =
                server.busyConnections() > 0
                        && now - lastInFlightMicros < PARTIAL_MESSAGE_TIMEOUT_MICROS;
        if (inFlight || partialMessages) {
            loop.after(COMPLETION_CHECK_INTERVAL_MICROS, this::awaitCompletion);
            return;
        }
        loop.after(FLUSH_DELAY_MICROS, loop::stop);
    }
}
