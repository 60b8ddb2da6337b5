package waytrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.io.TempDir;
import org.opentest4j.TestAbortedException;

/** The list of known faults, and what the build does with the tests on it. */
class KnownRedTest {
    private static final Path ROOT = Path.of("");
    private static final String LISTED = "waytrestle.KnownRedTest#listedScriptsArePrinted";
    private static final String REST = " | mvn -B verify, no seed | it failed | issue 1";

    @TempDir private Path folder;

    private List<KnownRedList.Entry> read(String text) throws IOException {
        return KnownRedList.read(Files.writeString(folder.resolve("list.txt"), text), ROOT);
    }

    private void assertRefused(String line, String reason) {
        IllegalStateException failure =
                assertThrows(IllegalStateException.class, () -> read("\n" + line + "\n"));
        assertTrue(failure.getMessage().contains(reason), failure.getMessage());
        assertTrue(failure.getMessage().contains("list.txt line 2"), failure.getMessage());
    }

    /** Scripts are not run by the build; reading the list checks all its entries. */
    @Test
    void listedScriptsArePrinted() throws IOException {
        for (KnownRedList.Entry entry : KnownRedList.read(KnownRedList.FILE, ROOT)) {
            if (entry.isScript()) {
                System.out.println("KNOWN RED, a script, not run here: " + entry);
            }
        }
    }

    @Test
    void testsOfTheTestTreeAndScriptsAreAcceptedInAnyNumber() throws IOException {
        String text = (LISTED + REST + "\n").repeat(5) + "bin/waytrestle" + REST + "\n";
        List<KnownRedList.Entry> entries = read(text);
        assertEquals(6, entries.size());
        assertTrue(entries.get(5).isScript());
        assertEquals(List.of(), KnownRedList.read(folder.resolve("none.txt"), ROOT));
    }

    @Test
    void malformedEntryIsRefused() {
        assertRefused(LISTED + " | it failed | issue 1", "not 'test | command");
        assertRefused(LISTED + REST + " | more", "not 'test | command");
        assertRefused(LISTED + " |  | it failed | issue 1", "not 'test | command");
        assertRefused(LISTED + " | mvn verify | it failed | some day", "the issue");
    }

    @Test
    void unknownTestsAndScriptsAreRefused() {
        assertRefused("waytrestle.KnownRedTest#noSuchTest" + REST, "no method");
        assertRefused("waytrestle.NoSuchTest#test" + REST, "no method");
        assertRefused("review/no-such.sh" + REST, "no script");
        assertRefused("review" + REST, "no script");
    }

    @Test
    void methodOfTheProgramsOwnTreeIsRefused() {
        assertRefused("waytrestle.Main#main" + REST, "no method");
    }

    private static ExtensionContext contextOf(String method, Throwable failure) throws Exception {
        Method test = KnownRedTest.class.getDeclaredMethod(method);
        return (ExtensionContext)
                Proxy.newProxyInstance(
                        KnownRedTest.class.getClassLoader(),
                        new Class<?>[] {ExtensionContext.class},
                        (proxy, called, args) ->
                                switch (called.getName()) {
                                    case "getRequiredTestClass" -> KnownRedTest.class;
                                    case "getRequiredTestMethod" -> test;
                                    case "getExecutionException" -> Optional.ofNullable(failure);
                                    default -> throw new AssertionError(called.getName());
                                });
    }

    @Test
    void onlyListedTestsArePassedOverAndOneThatPassesIsPrintedAsSuch() throws Exception {
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        KnownRedExtension extension =
                new KnownRedExtension(
                        read(LISTED + REST),
                        new PrintStream(printed, true, StandardCharsets.UTF_8));
        Throwable failure = new AssertionError("failed");
        ExtensionContext listed = contextOf("listedScriptsArePrinted", failure);
        assertThrows(
                TestAbortedException.class,
                () -> extension.handleTestExecutionException(listed, failure));
        extension.afterTestExecution(listed);
        assertEquals("KNOWN RED, failed as listed: " + LISTED + REST, printed.toString().strip());
        printed.reset();
        extension.afterTestExecution(contextOf("listedScriptsArePrinted", null));
        assertEquals(
                "KNOWN RED, passed though listed: " + LISTED + REST, printed.toString().strip());
        printed.reset();
        ExtensionContext other = contextOf("malformedEntryIsRefused", failure);
        Throwable thrown =
                assertThrows(
                        AssertionError.class,
                        () -> extension.handleTestExecutionException(other, failure));
        assertEquals(failure, thrown);
        assertEquals("", printed.toString());
    }
}
