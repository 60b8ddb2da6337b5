package waytrestle.front.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import waytrestle.http.HttpMessage;
import waytrestle.requests.RequestHandler.FunctionHints;
import waytrestle.scheduler.SchedulerSettings.Preloading;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/**
 * Reads and validates {@code POST /do/FUNCTION/call} requests. Values out of any plausible range
 * are rejected, so that they never reach an invoker.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class PlatformRequestReader {
    static final String REQUEST_METHOD = "POST";
    static final int NOT_FOUND = 404;
    static final int METHOD_NOT_ALLOWED = 405;

    private static final String PATH_PREFIX = "/do/";
    private static final String PATH_SUFFIX = "/call";

    /** Length of a function id and of a correlation id, in hexadecimal digits. */
    private static final int ID_LENGTH = 16;

    /** Limit of a request's deadline, as a multiple of the deadline of its request class. */
    private static final int MAX_DEADLINE_FACTOR = 10;

    private static final long MIN_DEADLINE_MILLIS = 1;
    private static final long MICROS_PER_MILLI = 1_000;

    private final List<RequestClass> classes;
    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final FunctionHintsReader hintsReader;

    PlatformRequestReader(List<RequestClass> classes, Preloading preloading) {
        this.classes = classes;
        this.hintsReader = new FunctionHintsReader(preloading);
        for (int i = 0; i < classes.size(); i++) {
            classIndexes.put(classes.get(i).name(), i);
        }
    }

    /** Returns whether a path begins with the prefix of request paths; the rest is not checked. */
    static boolean isRequestPath(String path) {
        return path.startsWith(PATH_PREFIX);
    }

    /** Reads a request; the exception for an invalid one is that of the first failed check. */
    PlatformRequest read(HttpMessage message) throws InvalidRequestException {
        String function = readFunction(message);
        int requestClass = readClass(message);
        String correlationId = readCorrelationId(message);
        long deadlineMillis = readDeadlineMillis(message, classes.get(requestClass));
        FunctionHints hints = hintsReader.read(message);
        return new PlatformRequest(function, requestClass, correlationId, deadlineMillis, hints);
    }

    private static String readFunction(HttpMessage message) throws InvalidRequestException {
        if (!isRequestPath(message.path())) {
            throw new InvalidRequestException(NOT_FOUND, "there is nothing at this path");
        }
        if (!message.method().equals(REQUEST_METHOD)) {
            throw new InvalidRequestException(METHOD_NOT_ALLOWED, "calls are posted");
        }
        String target = message.target();
        int functionStart = PATH_PREFIX.length();
        int functionEnd = functionStart + ID_LENGTH;
        String function = target.substring(functionStart, Math.min(target.length(), functionEnd));
        if (!isHexId(function) || !target.substring(functionEnd).equals(PATH_SUFFIX)) {
            throw new InvalidRequestException(
                    NOT_FOUND, "the path names no function by 16 hex digits");
        }
        return function;
    }

    private int readClass(HttpMessage message) throws InvalidRequestException {
        Integer index = classIndexes.get(HeaderValues.single(message, "x-class"));
        if (index == null) {
            throw InvalidRequestException.badRequest("X-Class names no class");
        }
        return index;
    }

    private static String readCorrelationId(HttpMessage message) throws InvalidRequestException {
        String id = HeaderValues.single(message, "x-correlation-id");
        if (!isHexId(id)) {
            throw InvalidRequestException.badRequest("X-Correlation-Id is not 16 hex digits");
        }
        return id;
    }

    private static long readDeadlineMillis(HttpMessage message, RequestClass requestClass)
            throws InvalidRequestException {
        long maxMillis = requestClass.deadlineMicros() / MICROS_PER_MILLI * MAX_DEADLINE_FACTOR;
        String value = HeaderValues.single(message, "x-deadline-ms");
        return HeaderValues.integer(
                value, MIN_DEADLINE_MILLIS, maxMillis, "X-Deadline-Ms is out of range");
    }

    private static boolean isHexId(String text) {
        return text.length() == ID_LENGTH
                && text.chars().allMatch(PlatformRequestReader::isLowerCaseHexDigit);
    }

    private static boolean isLowerCaseHexDigit(int character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
    }
}
