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
import waytrestle.json.JsonObjectReader;
import waytrestle.json.JsonObjectReader.Malformed;
import waytrestle.scheduler.FinishTimeScheduler;
import waytrestle.scheduler.InvokerEndpoint;
import waytrestle.scheduler.RequestScheduler;
import waytrestle.scheduler.SchedulerCommand;
import waytrestle.scheduler.SchedulerEvent;
import waytrestle.scheduler.SchedulerSettings;

/** Hosts many isolated controllers on the wire: a batch a line in, a reply a line out. */
public final class BenchAdapter {
    private record Instance(SchedulerSettings settings, RequestScheduler control) {}

    private final Map<Long, Instance> instances = new HashMap<>();
    private final Map<Integer, List<InvokerEndpoint>> lists = new HashMap<>();

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: java -jar waytrestle.jar wirehost");
            System.exit(2);
        }
        System.exit(new BenchAdapter().run(System.in, System.out, System.err));
    }

    int run(InputStream in, OutputStream out, PrintStream err) {
        try (BufferedReader lines =
                        new BufferedReader(
                                new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
                JsonGenerator json = JsonObjectReader.FACTORY.createGenerator(out)) {
            json.setRootValueSeparator(null);
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (!line.isBlank()) {
                    batch(JsonObjectReader.line(line), json);
                    json.writeRaw('\n');
                    json.flush();
                }
            }
            return 0;
        } catch (Malformed e) {
            err.println("waytrestle: " + e.getMessage());
            return 1;
        } catch (IOException e) {
            err.println("waytrestle: cannot read or write: " + e.getMessage());
            return 1;
        }
    }

    private void batch(Map<String, Object> batch, JsonGenerator json) throws IOException {
        long now = JsonObjectReader.required(batch, "now_us");
        if (!batch.containsKey("controllers")) {
            throw new Malformed("controllers is missing");
        }
        List<Object> controllers = JsonObjectReader.list(batch, "controllers");
        List<Object[]> replies = new ArrayList<>();
        for (Object each : controllers) {
            Map<String, Object> entry = JsonObjectReader.map(each, "controllers");
            long number = JsonObjectReader.required(entry, "i");
            List<SchedulerCommand> actions = new ArrayList<>();
            Throwable crash = inbox(now, number, JsonObjectReader.list(entry, "inbox"), actions);
            replies.add(new Object[] {number, actions, crash});
        }
        json.writeStartObject();
        json.writeArrayFieldStart("controllers");
        for (Object[] reply : replies) {
            @SuppressWarnings("unchecked")
            List<SchedulerCommand> actions = (List<SchedulerCommand>) reply[1];
            if (actions.isEmpty() && reply[2] == null) {
                continue;
            }
            json.writeStartObject();
            json.writeNumberField("i", (Long) reply[0]);
            json.writeArrayFieldStart("orders");
            for (SchedulerCommand action : actions) {
                BenchCodec.write(json, action);
            }
            if (reply[2] != null) {
                BenchCodec.writeCrash(json, (Throwable) reply[2]);
            }
            json.writeEndArray();
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    /** Feeds one controller its events; returns what a decision threw, to be reported. */
    private Throwable inbox(
            long now, long number, List<Object> inbox, List<SchedulerCommand> actions) {
        for (Object each : inbox) {
            Map<String, Object> e = JsonObjectReader.map(each, "inbox");
            String what = JsonObjectReader.requiredText(e, "what");
            switch (what) {
                case "UP" -> {
                    SchedulerSettings settings =
                            BenchCodec.settings(JsonObjectReader.mapOrEmpty(e, "params"));
                    instances.put(
                            number,
                            new Instance(
                                    settings,
                                    new FinishTimeScheduler(
                                            settings, JsonObjectReader.whole(e, "seed"))));
                }
                case "DOWN" -> {
                    instances.remove(number);
                    actions.clear();
                }
                case "LEDGER" ->
                        lists.put(
                                (int) JsonObjectReader.required(e, "roster_id"),
                                BenchCodec.invokers(JsonObjectReader.list(e, "entries")));
                default -> {
                    Instance instance = instances.get(number);
                    if (instance == null) {
                        throw new Malformed(
                                what + " came for controller " + number + ", which is not up");
                    }
                    SchedulerEvent event = BenchCodec.event(what, e, lists, instance.settings());
                    if (event != null) {
                        try {
                            instance.control().handle(now, event, actions::add);
                        } catch (RuntimeException broken) {
                            return broken;
                        }
                    }
                }
            }
        }
        return null;
    }
}
