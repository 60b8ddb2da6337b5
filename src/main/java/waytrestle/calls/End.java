package waytrestle.calls;

import waytrestle.Bytes;

/** How a call ends for whoever waits for it. */
public sealed interface End {
    /** The function's own answer; jsonBytes is the length of its JSON part where it is an infer answer, else -1. */
    record Served(String type, Bytes body, int jsonBytes) implements End {
        public Served(String type, byte[] body) {
            this(type, Bytes.of(body), -1);
        }
    }

    /** Nothing happened that a repeat could double: coming again is harmless. */
    record Refused(Why why, long comeBackAfterMicros) implements End { }

    /** No answer; unless it is proved not to have run, a repeat may double its effect. */
    record Failed(Why why, boolean mayHaveRun) implements End { }

    /** The reasons, as told to clients and counted. */
    enum Why {
        NO_FINISH_IN_TIME("no invoker is expected to finish in the time left"),
        TOO_MANY_OPEN("too many calls are open"),
        MEMORY_FULL("the memory of ids holds nothing that may be let go"),
        OVER_BOUND("a bound of this tenant is reached"),
        OVER_SHARE("this tenant's share of what the fleet can do now is taken"),
        OVER_RETRIES("repeats have used up their share of load"),
        STOPPING("the gateway is stopping"),
        TIME_UP("the time ran out"),
        BROKEN("every attempt broke"),
        INTERNAL("a decision failed"),
        STILL_OPEN("the first call of this id is still open; a repeat joins it"),
        ABANDONED("its client left while it may have been running"),
        SIGNED_BEFORE_MEMORY("signed before this gateway's memory of ids begins; it may have run"),
        ANSWER_LET_GO("served before; the answer is no longer held"),
        WINDOW_PASSED("may have run, and invokers no longer drop its repeats"),
        OTHER_PAYLOAD("this id came before with another payload");

        private final String text;

        Why(String text) {
            this.text = text;
        }

        public String text() {
            return text;
        }
    }
}
