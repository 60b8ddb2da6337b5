package waytrestle.bench;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import waytrestle.json.JsonObject;
import waytrestle.json.JsonStreams;
import waytrestle.json.MalformedJsonException;
import waytrestle.scheduler.FinishTimeScheduler;
import waytrestle.scheduler.SchedulerCommand;
import waytrestle.scheduler.SchedulerEvent;
import waytrestle.scheduler.SchedulerSettings;
import waytrestle.settings.SchedulerSettingsReader;

/**
 * Hosts the schedulers of many simulated controllers, isolated from each other, for the bench. Each
 * input line is a batch of messages at one simulated time; each output line is the reply to a
 * batch, with the commands of those controllers that have any.
 *
 * <p>Not thread-safe: used by the thread that calls {@link #run}.
 */
public final class BenchAdapter {
    /** Input buffer size in characters; most batches fit into it, and are read at once. */
    private static final int READ_BUFFER_CHARS = 1 << 16;

    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    /** The running controllers, by controller id. */
    private final Map<Long, HostedController> controllers = new HashMap<>();

    private final EndpointLists endpointLists = new EndpointLists();

    /** Runs the adapter on the standard streams until the input ends, then exits the process. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: java -jar waytrestle.jar wirehost");
            System.exit(EXIT_USAGE);
        }
        System.exit(new BenchAdapter().run(System.in, System.out, System.err));
    }

    /**
     * Replies to each batch until the input ends, is malformed, or cannot be read or written.
     * Writes an error message to {@code err}, and returns the exit status of the process.
     */
    int run(InputStream in, OutputStream out, PrintStream err) {
        try (BufferedReader lines = bufferedReader(in);
                JsonGenerator json = JsonStreams.generator(out)) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (!line.isBlank()) {
                    processBatch(JsonObject.parse(line, "a batch"), json);
                }
            }
            return EXIT_OK;
        } catch (MalformedJsonException e) {
            err.println("waytrestle: " + e.getMessage());
            return EXIT_FAILURE;
        } catch (IOException e) {
            err.println("waytrestle: cannot read batches or write replies: " + e.getMessage());
            return EXIT_FAILURE;
        }
    }

    private static BufferedReader bufferedReader(InputStream in) {
        return new BufferedReader(
                new InputStreamReader(in, StandardCharsets.UTF_8), READ_BUFFER_CHARS);
    }

    private void processBatch(JsonObject batch, JsonGenerator json) throws IOException {
        long nowMicros = batch.requiredWholeNumber("now_us");
        if (!batch.has("controllers")) {
            throw new MalformedJsonException("controllers is missing");
        }
        // The whole batch is processed before its reply is written, so that a malformed batch
        // leaves
        // no partial reply in the output.
        List<ControllerReply> replies = new ArrayList<>();
        for (JsonObject entry : batch.objects("controllers")) {
            replies.add(processInbox(nowMicros, entry));
        }
        CommandWriter.writeReplies(json, replies);
        json.writeRaw('\n');
        json.flush();
    }

    /** Processes the messages to one controller, up to the first on which its scheduler throws. */
    private ControllerReply processInbox(long nowMicros, JsonObject entry) {
        long controllerId = entry.requiredWholeNumber("i");
        List<SchedulerCommand> commands = new ArrayList<>();
        for (JsonObject message : entry.objects("inbox")) {
            RuntimeException failure = process(nowMicros, controllerId, message, commands);
            if (failure != null) {
                return new ControllerReply(controllerId, commands, failure);
            }
        }
        return new ControllerReply(controllerId, commands, null);
    }

    /**
     * Processes one message and adds the resulting commands.
     *
     * @return the exception that the scheduler threw, or null if it threw none
     */
    private RuntimeException process(
            long nowMicros,
            long controllerId,
            JsonObject message,
            List<SchedulerCommand> commands) {
        String type = message.requiredText("what");
        switch (type) {
            case "UP" -> controllers.put(controllerId, startController(message));
            case "DOWN" -> {
                controllers.remove(controllerId);
                commands.clear();
            }
            case "LEDGER" -> endpointLists.store(message);
            default -> {
                HostedController controller = runningController(controllerId, type);
                SchedulerEvent event =
                        EventReader.read(type, message, endpointLists, controller.settings());
                if (event != null) {
                    return handle(controller, nowMicros, event, commands);
                }
            }
        }
        return null;
    }

    private static HostedController startController(JsonObject message) {
        SchedulerSettings settings = SchedulerSettingsReader.read(message.object("params"));
        long seed = message.wholeNumber("seed");
        return new HostedController(settings, new FinishTimeScheduler(settings, seed));
    }

    private HostedController runningController(long controllerId, String type) {
        HostedController controller = controllers.get(controllerId);
        if (controller == null) {
            throw new MalformedJsonException(
                    type + " received for controller " + controllerId + ", which is not running");
        }
        return controller;
    }

    /** Gives an event to a controller's scheduler; returns what the scheduler threw, or null. */
    private static RuntimeException handle(
            HostedController controller,
            long nowMicros,
            SchedulerEvent event,
            List<SchedulerCommand> commands) {
        try {
            controller.scheduler().handle(nowMicros, event, commands::add);
            return null;
        } catch (RuntimeException failure) {
            return failure;
        }
    }
}
