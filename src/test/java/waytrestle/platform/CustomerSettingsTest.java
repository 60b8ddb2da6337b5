package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static waytrestle.platform.PlatformFixture.awaitCondition;
import static waytrestle.platform.PlatformFixture.readResponse;
import static waytrestle.platform.PlatformFixture.request;
import static waytrestle.platform.PlatformFixture.status;
import static waytrestle.platform.PlatformFixture.write;

import java.net.Socket;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * The same controller under two customers' settings: each one's names, limits and times are obeyed,
 * and not the other's.
 */
class CustomerSettingsTest {
    private static final int INVOKERS = 8;
    private static final int REJECTED_REQUESTS = 20;
    private static final long SLOW_RESPONSE_MICROS = 400_000;
    private static final long FIRST_CORRELATION_ID = 0x5b1f03aa5c7e0000L;
    private static final String OTHER_FUNCTION = "00000000000000aa";

    private static final Customer KIOSK =
            new Customer(
                    "scan",
                    "pay",
                    text ->
                            text.replace("\"deadline_us\":3000000", "\"deadline_us\":100000")
                                    .replace("\"max_attempts\":5", "\"max_attempts\":2")
                                    .replace("\"max_open\":1000", "\"max_open\":1")
                                    .replace(
                                            "\"max_retry_after_us\":2000000",
                                            "\"max_retry_after_us\":300000"));

    private static final Customer ATLAS =
            new Customer(
                    "render",
                    "commit",
                    text ->
                            text.replace("\"max_attempts\":5", "\"max_attempts\":4")
                                    .replace("\"retry_after\":true", "\"retry_after\":false"));

    /** A customer's names of the two request classes, and an edit for its other settings. */
    private record Customer(
            String idempotentClass, String otherClass, UnaryOperator<String> limitsEdit) {
        private String edit(String configuration) {
            String named =
                    configuration
                            .replace("\"name\":\"read\"", "\"name\":\"" + idempotentClass + "\"")
                            .replace("\"name\":\"book\"", "\"name\":\"" + otherClass + "\"");
            return limitsEdit.apply(named);
        }
    }

    /** What one customer's settings lead to: statuses, attempts and retry times. */
    private record ObservedBehavior(
            int knownClass,
            int unknownClass,
            int longDeadline,
            int attempts,
            int whileOneIsInFlight,
            Set<String> retryAfterMillis) {}

    @Test
    void eachCustomersSettingsAreObeyed() throws Exception {
        ObservedBehavior kiosk = observe(KIOSK, "render");
        ObservedBehavior atlas = observe(ATLAS, "scan");
        assertEquals(new ObservedBehavior(200, 400, 400, 2, 429, Set.of("300")), kiosk);
        assertEquals(new ObservedBehavior(200, 400, 200, 4, 200, Set.of()), atlas);
    }

    private static ObservedBehavior observe(Customer customer, String unknownClass)
            throws Exception {
        try (PlatformFixture fixture = new PlatformFixture()) {
            String endpoints = watchEventOfAllInvokers(fixture);
            fixture.setConfigurationEdit(
                    text -> customer.edit(text).replace(fixture.configuredEventJson(), endpoints));
            fixture.start();
            String idempotent = customer.idempotentClass();
            return new ObservedBehavior(
                    status(fixture.send(shortRequest(idempotent, 1, ""))),
                    status(fixture.send(shortRequest(unknownClass, 2, ""))),
                    status(fixture.send(request(idempotent, correlationId(3), "", "x"))),
                    countAttempts(fixture, idempotent),
                    statusWhileOneIsInFlight(fixture, customer),
                    retryAfterOfRejections(fixture, customer.otherClass()));
        }
    }

    private static String watchEventOfAllInvokers(PlatformFixture fixture) {
        String[] endpoints = new String[INVOKERS];
        for (int i = 0; i < INVOKERS; i++) {
            endpoints[i] = fixture.endpointJson("s-" + (i + 1), "Ready");
        }
        return PlatformFixture.watchEventJson(1, true, endpoints);
    }

    /** Attempts at an idempotent request whose failures do not prove that it has not run. */
    private static int countAttempts(PlatformFixture fixture, String idempotentClass)
            throws Exception {
        fixture.invoker.requests().clear();
        fixture.invoker.setScript(exchange -> ScriptedInvoker.respond(exchange, 503, "no mark"));
        fixture.send(shortRequest(idempotentClass, 4, ""));
        return fixture.invoker.requests().size();
    }

    private static int statusWhileOneIsInFlight(PlatformFixture fixture, Customer customer)
            throws Exception {
        ScriptedInvoker invoker = fixture.invoker;
        invoker.setScript(
                exchange ->
                        invoker.schedule(
                                SLOW_RESPONSE_MICROS,
                                () -> ScriptedInvoker.respond(exchange, 200, "done")));
        try (Socket connection = fixture.connect()) {
            int before = invoker.requests().size();
            write(connection, shortRequest(customer.otherClass(), 5, ""));
            awaitCondition(() -> invoker.requests().size() > before, "it was not forwarded");
            int status = status(fixture.send(shortRequest(customer.idempotentClass(), 6, "")));
            readResponse(connection);
            return status;
        }
    }

    /** Retry times of rejections for a load that outlasts the request's deadline. */
    private static Set<String> retryAfterOfRejections(PlatformFixture fixture, String otherClass)
            throws Exception {
        fixture.invoker.setScript(ScriptedInvoker::reportNotLoaded);
        Set<String> retryAfterMillis = new TreeSet<>();
        for (int i = 0; i < REJECTED_REQUESTS; i++) {
            String message =
                    shortRequest(otherClass, 10 + i, "X-Extras: load_ms:9000\r\n")
                            .replace(PlatformFixture.FUNCTION, OTHER_FUNCTION);
            String rejection = fixture.send(message);
            assertEquals(503, status(rejection));
            String retryAfter = PlatformFixture.header(rejection, "X-Pushback-Ms");
            if (retryAfter != null) {
                retryAfterMillis.add(retryAfter);
            }
        }
        return retryAfterMillis;
    }

    /** A request whose deadline is within the range of both customers. */
    private static String shortRequest(String requestClass, int number, String headers) {
        return request(requestClass, correlationId(number), headers, "x")
                .replace("X-Deadline-Ms: 3000", "X-Deadline-Ms: 900");
    }

    private static String correlationId(int number) {
        return "%016x".formatted(FIRST_CORRELATION_ID + number);
    }
}
