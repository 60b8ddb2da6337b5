package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The form of a log line. */
class LogLineTest {
    @Test
    void anEventIsFollowedByItsFields() {
        LogLine line = new LogLine("config.reloaded").with("revision", 7).with("invoker", "s-1");
        assertEquals("config.reloaded revision=7 invoker=s-1", line.toString());
    }

    @Test
    void aValueThatIsNoSingleWordIsQuoted() {
        LogLine line = new LogLine("event").with("empty", "").with("text", "a \"b\"=c");
        assertEquals("event empty=\"\" text=\"a \\\"b\\\"=c\"", line.toString());
    }

    @Test
    void aValueWithLineBreaksStaysOnOneLine() {
        LogLine line = new LogLine("event").with("text", "a\r\nb");
        assertEquals("event text=\"a\\r\\nb\"", line.toString());
    }
}
