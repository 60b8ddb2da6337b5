package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import waytrestle.platform.ClientFlood.Kind;

/**
 * A controller with a small heap stays up while clients flood it; long floods are played by hand,
 * see {@link ClientFloodPlay}.
 */
class ClientFloodTest {
    /** Requests of which 200 bytes each would fill the heap. */
    private static final int REQUESTS = 120_000;

    /**
     * One for each of the connections that 256 descriptors allow, and some of the program's own.
     */
    private static final int MAX_TIMERS = 250;

    /** Guards against the table of functions that grew with every id that a client made up. */
    @Test
    void requestsForEverNewFunctionsDoNotFillTheHeap() throws Exception {
        assertSurvives(1, Kind.NEW_FUNCTION);
    }

    /** Guards against timers that outlive their requests until the deadlines that clients name. */
    @Test
    void rejectedRequestsWithLongDeadlinesDoNotFillTheHeap() throws Exception {
        assertSurvives(2, Kind.LONG_DEADLINE);
    }

    /** Guards against whatever else a client can make a controller hold. */
    @Test
    void aMixOfAllThatClientsMaySendDoesNotFillTheHeap() throws Exception {
        assertSurvives(3, Kind.values());
    }

    private static void assertSurvives(long seed, Kind... kinds) throws Exception {
        ClientFloodPlay.Result result = new ClientFloodPlay(seed, REQUESTS).play(kinds);
        System.out.println("client flood: " + result.summary());
        assertTrue(result.survived(), () -> result.summary() + "\n" + result.log());
        assertTrue(result.timers() <= MAX_TIMERS, result::summary);
    }
}
