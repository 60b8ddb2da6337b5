package waytrestle.platform;

import waytrestle.controller.Controller;
import waytrestle.front.platform.PlatformFrontEnd;
import waytrestle.http.HttpServer;
import waytrestle.net.Loop;

/**
 * Shuts a controller down: accepts requests for as long as the platform may still route them to
 * this controller, completes the requests in flight, then stops the event loop.
 *
 * <p>State is owned by the event loop; {@link #start} may be called from any thread.
 */
final class GracefulShutdown {
    /** Time after the shutdown signal in which the platform still routes requests here. */
    private static final long ACCEPT_DURATION_MICROS = 800_000;

    /** Time between checks whether requests are still in flight once new ones are not accepted. */
    private static final long COMPLETION_CHECK_INTERVAL_MICROS = 10_000;

    /**
     * Longest wait, from when no request is in flight, for clients that are still sending a request
     * or still reading a response: as long as one message may take.
     */
    private static final long PARTIAL_MESSAGE_TIMEOUT_MICROS = 2_000_000;

    /** Time between the end of the last request and the stop, for the last responses to leave. */
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
        long nowMicros = Loop.nowMicros();
        boolean requestsInFlight = controller.inFlight() > 0;
        if (requestsInFlight) {
            lastInFlightMicros = nowMicros;
        }
        boolean awaitsPartialMessages =
                server.busyConnections() > 0
                        && nowMicros - lastInFlightMicros < PARTIAL_MESSAGE_TIMEOUT_MICROS;
        if (requestsInFlight || awaitsPartialMessages) {
            loop.after(COMPLETION_CHECK_INTERVAL_MICROS, this::awaitCompletion);
            return;
        }
        loop.after(FLUSH_DELAY_MICROS, loop::stop);
    }
}
