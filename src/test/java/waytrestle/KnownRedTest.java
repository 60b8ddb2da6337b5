package waytrestle;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Method;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

class KnownRedTest {
    @Test
    void everyTestThatIsListedExists() throws Exception {
        for (String line : KnownRedExtension.lines()) {
            String[] test = line.substring(0, line.indexOf(" | ")).split("#");
            Method[] methods = Class.forName(test[0]).getDeclaredMethods();
            assertTrue(
                    Arrays.stream(methods).anyMatch(each -> each.getName().equals(test[1])), line);
        }
    }
}
