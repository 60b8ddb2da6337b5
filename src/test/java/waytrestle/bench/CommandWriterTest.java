package waytrestle.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import waytrestle.json.JsonStreams;
import waytrestle.scheduler.SchedulerCommand;
import waytrestle.scheduler.SchedulerTimer;

/** Checks the JSON messages that are written for scheduler commands. */
class CommandWriterTest {
    private static final int CONTROLLER_ID = 4;

    private static String write(ControllerReply... replies) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = JsonStreams.generator(out)) {
            CommandWriter.writeReplies(json, List.of(replies));
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    private static void assertWritten(String expected, SchedulerCommand command)
            throws IOException {
        assertEquals(
                "{\"controllers\":[{\"i\":4,\"orders\":[" + expected + "]}]}",
                write(new ControllerReply(CONTROLLER_ID, List.of(command), null)));
    }

    @Test
    void commandsAboutRequestsAreWrittenAsWireMessages() throws IOException {
        assertWritten(
                "{\"what\":\"DISPATCH\",\"txn\":1,\"invoker\":\"h:1\",\"abandon_at_us\":5}",
                new SchedulerCommand.ForwardAttempt(1, "h:1", 5));
        assertWritten(
                "{\"what\":\"REFUSE\",\"txn\":1,\"stay_away_us\":7}",
                new SchedulerCommand.RejectRequest(1, 7));
        assertWritten("{\"what\":\"ERROR\",\"txn\":1}", new SchedulerCommand.FailRequest(1));
        assertWritten(
                "{\"what\":\"ABANDON\",\"txn\":1,\"try\":2}",
                new SchedulerCommand.CancelAttempt(1, 2));
    }

    @Test
    void commandsAboutInvokersAreWrittenAsWireMessages() throws IOException {
        assertWritten(
                "{\"what\":\"START_COPY\",\"invoker\":\"h:1\",\"number\":3,\"fn\":\"f\"}",
                new SchedulerCommand.PreloadFunction("h:1", "f", 3));
        assertWritten(
                "{\"what\":\"TAKE_DOWN\",\"invoker\":\"h:1\",\"fn\":\"f\"}",
                new SchedulerCommand.UnloadFunction("h:1", "f"));
        assertWritten(
                "{\"what\":\"TOUCH\",\"invoker\":\"h:1\"}",
                new SchedulerCommand.CheckHealth("h:1"));
        assertWritten(
                "{\"what\":\"RELEASE\",\"invoker\":\"h:1\"}",
                new SchedulerCommand.CloseIdleConnections("h:1"));
    }

    @Test
    void gossipToOnePeerIsWrittenWithItsIndexAndToAllPeersWithAnAsterisk() throws IOException {
        byte[] message = {1, 2};
        assertWritten(
                "{\"what\":\"PUBLISH\",\"peer\":2,\"content\":\"AQI=\"}",
                new SchedulerCommand.SendGossip(2, message));
        assertWritten(
                "{\"what\":\"PUBLISH\",\"peer\":\"*\",\"content\":\"AQI=\"}",
                new SchedulerCommand.SendGossip(SchedulerCommand.ALL_PEERS, message));
    }

    @Test
    void discoveryTimerAndLogCommandsAreWrittenAsWireMessages() throws IOException {
        assertWritten(
                "{\"what\":\"TAIL\",\"want\":true}",
                new SchedulerCommand.SubscribeToEndpoints(true));
        assertWritten("{\"what\":\"READ_LIST\"}", new SchedulerCommand.FetchEndpoints());
        assertWritten(
                "{\"what\":\"SLEEP\",\"after_us\":9,\"tag\":\"end:1\"}",
                new SchedulerCommand.SetTimer(9, new SchedulerTimer.RequestDeadline(1)));
        assertWritten(
                "{\"what\":\"REMARK\",\"body_text\":\"note\"}",
                new SchedulerCommand.LogMessage("note"));
    }

    @Test
    void schedulerFailureIsWrittenAfterTheCommands() throws IOException {
        RuntimeException failure = new IllegalStateException("broken");
        failure.setStackTrace(
                new StackTraceElement[] {new StackTraceElement("Type", "method", "Type.java", 3)});
        ControllerReply reply =
                new ControllerReply(
                        CONTROLLER_ID, List.of(new SchedulerCommand.FailRequest(1)), failure);
        assertEquals(
                "{\"controllers\":[{\"i\":4,\"orders\":[{\"what\":\"ERROR\",\"txn\":1},"
                        + "{\"what\":\"CRASH\",\"body_text\":\"java.lang.IllegalStateException:"
                        + " broken at Type.method(Type.java:3)\"}]}]}",
                write(reply));
    }

    @Test
    void controllerWithoutCommandsOrFailureIsLeftOutOfTheReply() throws IOException {
        assertEquals(
                "{\"controllers\":[]}", write(new ControllerReply(CONTROLLER_ID, List.of(), null)));
    }
}
