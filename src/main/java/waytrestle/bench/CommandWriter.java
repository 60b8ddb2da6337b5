package waytrestle.bench;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Base64;
import java.util.List;
import waytrestle.scheduler.SchedulerCommand;

/** Writes the commands of schedulers as JSON messages of the bench's wire protocol. Stateless. */
final class CommandWriter {
    /** Value of the member "peer" in a gossip message to all other controllers. */
    private static final String ALL_PEERS = "*";

    private CommandWriter() {}

    /** Writes the reply to a batch, without the controllers whose replies are empty. */
    static void writeReplies(JsonGenerator json, List<ControllerReply> replies) throws IOException {
        json.writeStartObject();
        json.writeArrayFieldStart("controllers");
        for (ControllerReply reply : replies) {
            if (!reply.isEmpty()) {
                writeReply(json, reply);
            }
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    private static void writeReply(JsonGenerator json, ControllerReply reply) throws IOException {
        json.writeStartObject();
        json.writeNumberField("i", reply.controllerId());
        json.writeArrayFieldStart("orders");
        for (SchedulerCommand command : reply.commands()) {
            json.writeStartObject();
            writeCommand(json, command);
            json.writeEndObject();
        }
        if (reply.failure() != null) {
            writeFailure(json, reply.failure());
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    /** Writes the exception that a scheduler threw as a message after the controller's commands. */
    private static void writeFailure(JsonGenerator json, RuntimeException failure)
            throws IOException {
        StackTraceElement[] trace = failure.getStackTrace();
        String location = trace.length > 0 ? " at " + trace[0] : "";
        json.writeStartObject();
        writeType(json, "CRASH");
        json.writeStringField("body_text", failure + location);
        json.writeEndObject();
    }

    private static void writeCommand(JsonGenerator json, SchedulerCommand command)
            throws IOException {
        if (command instanceof SchedulerCommand.ForwardAttempt forward) {
            writeForward(json, forward);
        } else if (command instanceof SchedulerCommand.RejectRequest reject) {
            writeType(json, "REFUSE");
            json.writeNumberField("txn", reject.id());
            json.writeNumberField("stay_away_us", reject.retryAfterMicros());
        } else if (command instanceof SchedulerCommand.FailRequest fail) {
            writeType(json, "ERROR");
            json.writeNumberField("txn", fail.id());
        } else if (command instanceof SchedulerCommand.CancelAttempt cancel) {
            writeType(json, "ABANDON");
            json.writeNumberField("txn", cancel.id());
            json.writeNumberField("try", cancel.attempt());
        } else if (command instanceof SchedulerCommand.SetTimer timer) {
            writeType(json, "SLEEP");
            json.writeNumberField("after_us", timer.afterMicros());
            json.writeStringField("tag", TimerTag.format(timer.timer()));
        } else if (command instanceof SchedulerCommand.SendGossip gossip) {
            writeGossip(json, gossip);
        } else if (command instanceof SchedulerCommand.LogMessage message) {
            writeType(json, "REMARK");
            json.writeStringField("body_text", message.text());
        } else if (command instanceof SchedulerCommand.SubscribeToEndpoints subscribe) {
            writeType(json, "TAIL");
            json.writeBooleanField("want", subscribe.enabled());
        } else if (command instanceof SchedulerCommand.FetchEndpoints) {
            writeType(json, "READ_LIST");
        } else {
            writeInvokerCommand(json, command);
        }
    }

    /** Writes a command that concerns an invoker but no request. */
    private static void writeInvokerCommand(JsonGenerator json, SchedulerCommand command)
            throws IOException {
        if (command instanceof SchedulerCommand.PreloadFunction preload) {
            writeType(json, "START_COPY");
            json.writeStringField("invoker", preload.invoker());
            json.writeNumberField("number", preload.instances());
            json.writeStringField("fn", preload.function());
        } else if (command instanceof SchedulerCommand.UnloadFunction unload) {
            writeType(json, "TAKE_DOWN");
            json.writeStringField("invoker", unload.invoker());
            json.writeStringField("fn", unload.function());
        } else if (command instanceof SchedulerCommand.CheckHealth check) {
            writeType(json, "TOUCH");
            json.writeStringField("invoker", check.invoker());
        } else if (command instanceof SchedulerCommand.CloseIdleConnections close) {
            writeType(json, "RELEASE");
            json.writeStringField("invoker", close.invoker());
        }
    }

    private static void writeForward(JsonGenerator json, SchedulerCommand.ForwardAttempt forward)
            throws IOException {
        writeType(json, "DISPATCH");
        json.writeNumberField("txn", forward.id());
        json.writeStringField("invoker", forward.invoker());
        json.writeNumberField("abandon_at_us", forward.giveUpAtMicros());
    }

    private static void writeGossip(JsonGenerator json, SchedulerCommand.SendGossip gossip)
            throws IOException {
        writeType(json, "PUBLISH");
        if (gossip.peer() < 0) {
            json.writeStringField("peer", ALL_PEERS);
        } else {
            json.writeNumberField("peer", gossip.peer());
        }
        json.writeStringField("content", Base64.getEncoder().encodeToString(gossip.message()));
    }

    private static void writeType(JsonGenerator json, String type) throws IOException {
        json.writeStringField("what", type);
    }
}
