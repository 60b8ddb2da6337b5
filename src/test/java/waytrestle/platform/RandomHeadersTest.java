package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.platform.PlatformFixture.correlationId;
import static waytrestle.platform.PlatformFixture.request;
import static waytrestle.platform.PlatformFixture.status;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Requests with random headers against the platform's controller, over sockets. */
class RandomHeadersTest {
    private static final int RANDOM_SEED = 7;
    private static final int REQUESTS = 300;

    private static final String[] FIELDS = {
        "X-Class",
        "X-Correlation-Id",
        "X-Deadline-Ms",
        "X-Extras",
        "X-Resent",
        "X-Estimate-Ms",
        "Host"
    };

    private static final String[] UNUSUAL_VALUES = {
        "",
        "read",
        "book",
        "0",
        "-0",
        "1e9",
        "NaN",
        "Infinity",
        "9".repeat(400),
        ";",
        ":",
        "lanes:2;lanes:",
        "lanes:2;;",
        "memory_mb:0x10",
        "load_ms:1.5.2",
        "9b1f03aa5c7e2d4g",
        "\u00e9",
        "%00",
        "1, 1",
        " 1 ",
        "true"
    };

    private final Random random = new Random(RANDOM_SEED);

    @Test
    void everyRequestIsAnsweredAndOnlyValidOnesReachAnInvoker() throws Exception {
        try (PlatformFixture fixture = new PlatformFixture().start()) {
            for (int i = 0; i < REQUESTS; i++) {
                String head = randomHead(i);
                int before = fixture.invoker.requests().size();
                String response = fixture.send(head + "Content-Length: 1\r\n\r\nx");
                int status = status(response);
                boolean rejected = status >= 400 && status < 500 && status != 429;
                assertTrue(status == 200 || rejected, head + response);
                int forwarded = status == 200 ? 1 : 0;
                assertEquals(before + forwarded, fixture.invoker.requests().size(), head);
            }
            assertEquals(200, status(fixture.send(request("read", correlationId(9_999), "", "x"))));
        }
    }

    private String randomHead(int number) {
        StringBuilder head = new StringBuilder("POST /do/");
        head.append(random.nextInt(4) > 0 ? PlatformFixture.FUNCTION : "..%2f" + number);
        head.append(random.nextInt(4) > 0 ? "/call" : "/");
        head.append(" HTTP/1.1\r\n");
        for (String field : FIELDS) {
            int count = randomCount();
            for (int i = 0; i < count; i++) {
                head.append(field).append(": ").append(randomValue(field, number)).append("\r\n");
            }
        }
        return head.toString();
    }

    /** Mostly one, sometimes two or none. */
    private int randomCount() {
        if (random.nextInt(8) == 0) {
            return 2;
        }
        return random.nextInt(10) == 0 ? 0 : 1;
    }

    private String randomValue(String field, int number) {
        boolean valid = random.nextInt(3) > 0;
        return valid
                ? validValue(field, number)
                : UNUSUAL_VALUES[random.nextInt(UNUSUAL_VALUES.length)];
    }

    private static String validValue(String field, int number) {
        return switch (field) {
            case "X-Class" -> "read";
            case "X-Correlation-Id" -> correlationId(5_000 + number);
            case "X-Deadline-Ms" -> "2000";
            case "X-Extras" -> "lanes:2";
            case "Host" -> "api";
            default -> "1";
        };
    }
}
