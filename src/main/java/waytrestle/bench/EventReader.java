package waytrestle.bench;

import java.util.Base64;
import waytrestle.json.JsonObject;
import waytrestle.json.MalformedJsonException;
import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerEvent;
import waytrestle.scheduler.SchedulerSettings;
import waytrestle.scheduler.StartKind;

/** Translates messages of the bench's wire protocol into scheduler events. Stateless. */
final class EventReader {
    /** The response codes, indexed by their numbers on the wire. */
    private static final ResponseCode[] RESPONSE_CODES = {
        ResponseCode.ERROR,
        ResponseCode.OK,
        ResponseCode.FULL,
        ResponseCode.TIMEOUT,
        ResponseCode.CONNECT_FAILED,
        ResponseCode.RESET,
        ResponseCode.CANCELLED,
        ResponseCode.NOT_SENT,
        ResponseCode.NOT_LOADED
    };

    /** The kinds of function start, indexed by their numbers on the wire. */
    private static final StartKind[] START_KINDS = {
        StartKind.UNKNOWN, StartKind.WARM, StartKind.COLD, StartKind.JOINED, StartKind.LOAD_FAILED
    };

    /**
     * Number of low bits of the member "detail" that hold the kind of function start; the bits
     * above them hold the number of concurrent requests.
     */
    private static final int START_KIND_BITS = 3;

    private static final int START_KIND_MASK = (1 << START_KIND_BITS) - 1;

    /** Mode on the wire of an endpoint update with the complete, current list. */
    private static final int MODE_SNAPSHOT = 0;

    /** Mode on the wire of an endpoint update with a complete list that may be out of date. */
    private static final int MODE_CACHED_SNAPSHOT = 1;

    /** Mode on the wire of an endpoint update that failed. */
    private static final int MODE_FAILED = 2;

    /** Mode on the wire of an endpoint update with the changed entries only. */
    private static final int MODE_CHANGES = 3;

    private static final int MICROS_PER_MILLI = 1_000;

    private EventReader() {}

    /**
     * Returns the scheduler event of a message.
     *
     * @param settings settings of the controller that receives the message
     * @return the event, or null for an unknown message type, since the bench may add types
     * @throws MalformedJsonException if a member is missing or has an unexpected value
     */
    static SchedulerEvent read(
            String type,
            JsonObject message,
            EndpointLists endpointLists,
            SchedulerSettings settings) {
        return switch (type) {
            case "ENDPOINTS" -> endpointUpdate(message, endpointLists);
            case "INBOUND" -> requestReceived(message, settings);
            case "REPORT_BACK" -> attemptCompleted(message, settings);
            case "ESTABLISHED" -> streamStarted(message);
            case "PROBED" -> healthCheckCompleted(message);
            case "HELD_NOW" -> preloadCompleted(message);
            case "CANCELLED_BY_CLIENT" ->
                    new SchedulerEvent.RequestAbandoned(message.requiredWholeNumber("txn"));
            case "WAKEUP" -> new SchedulerEvent.TimerExpired(TimerTag.parse(message.text("tag")));
            case "WHISPER" -> gossipReceived(message);
            default -> null;
        };
    }

    private static SchedulerEvent endpointUpdate(JsonObject message, EndpointLists endpointLists) {
        int mode = message.requiredWholeInt("mode");
        if (mode == MODE_FAILED) {
            return new SchedulerEvent.EndpointUpdateFailed();
        }
        if (mode < MODE_SNAPSHOT || mode > MODE_CHANGES) {
            throw new MalformedJsonException("mode is unknown: " + mode);
        }
        return new SchedulerEvent.EndpointsUpdated(
                mode != MODE_CHANGES,
                mode == MODE_CACHED_SNAPSHOT,
                endpointLists.get(message.wholeInt("roster_id")));
    }

    private static SchedulerEvent requestReceived(JsonObject message, SchedulerSettings settings) {
        int requestClass = message.wholeInt("service");
        if (requestClass < 0 || requestClass >= settings.classes().size()) {
            throw new MalformedJsonException("service is not in the settings: " + requestClass);
        }
        return new SchedulerEvent.RequestReceived(
                message.requiredWholeNumber("txn"),
                requestClass,
                tenant(message, settings),
                message.text("fn"),
                message.wholeNumber("remaining_us"),
                message.wholeNumber("predicted_us"),
                message.number("resident_mb"),
                message.wholeInt("lanes"),
                Math.round(message.number("load_ms") * MICROS_PER_MILLI),
                message.flag("repeat"),
                message.flag("mutates"));
    }

    private static int tenant(JsonObject message, SchedulerSettings settings) {
        return settings.tenants().isEmpty() ? SchedulerEvent.NO_TENANT : message.wholeInt("org");
    }

    private static SchedulerEvent attemptCompleted(JsonObject message, SchedulerSettings settings) {
        int detail = message.wholeInt("detail");
        ResponseCode code = responseCode(message);
        return new SchedulerEvent.AttemptCompleted(
                message.requiredWholeNumber("txn"),
                message.wholeInt("try"),
                message.text("invoker"),
                code,
                message.flag("settled"),
                message.wholeNumber("time_taken_us"),
                startKind(detail),
                concurrentRequests(detail, code, settings),
                message.object("telemetry").numericMembers());
    }

    private static StartKind startKind(int detail) {
        int number = detail & START_KIND_MASK;
        return number < START_KINDS.length ? START_KINDS[number] : StartKind.UNKNOWN;
    }

    private static int concurrentRequests(
            int detail, ResponseCode code, SchedulerSettings settings) {
        boolean reported =
                settings.preloading().reportsConcurrency()
                        && (code == ResponseCode.OK || code == ResponseCode.FULL);
        return reported ? detail >> START_KIND_BITS : SchedulerEvent.CONCURRENCY_NOT_REPORTED;
    }

    private static SchedulerEvent streamStarted(JsonObject message) {
        return new SchedulerEvent.StreamStarted(
                message.requiredWholeNumber("txn"),
                message.wholeInt("try"),
                message.text("invoker"),
                message.wholeNumber("time_taken_us"));
    }

    private static SchedulerEvent healthCheckCompleted(JsonObject message) {
        return new SchedulerEvent.HealthCheckCompleted(
                message.requiredText("invoker"),
                responseCode(message),
                message.wholeNumber("time_taken_us"),
                message.object("telemetry").numericMembers(),
                0);
    }

    private static SchedulerEvent preloadCompleted(JsonObject message) {
        return new SchedulerEvent.PreloadCompleted(
                message.requiredText("invoker"),
                message.requiredText("fn"),
                responseCode(message),
                message.wholeNumber("time_taken_us"),
                message.wholeInt("number"));
    }

    private static SchedulerEvent gossipReceived(JsonObject message) {
        int peer = message.wholeInt("origin_peer");
        try {
            byte[] content = Base64.getDecoder().decode(message.text("content"));
            return new SchedulerEvent.GossipReceived(peer, content);
        } catch (IllegalArgumentException e) {
            throw new MalformedJsonException("content is not base64");
        }
    }

    private static ResponseCode responseCode(JsonObject message) {
        long code = message.requiredWholeNumber("code");
        if (code < 0 || code >= RESPONSE_CODES.length) {
            throw new MalformedJsonException("code is unknown: " + code);
        }
        return RESPONSE_CODES[(int) code];
    }
}
