package waytrestle;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.extension.AfterTestExecutionCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.TestExecutionExceptionHandler;
import org.opentest4j.TestAbortedException;

/**
 * Lets the build pass over the tests that {@code KNOWN-RED.txt} lists, and over no others: they
 * run, and where one fails, its line is printed and it counts as skipped. One that passes is
 * printed too, since its line is then due to go. Registered for all tests by the service loader.
 */
public final class KnownRedExtension
        implements TestExecutionExceptionHandler, AfterTestExecutionCallback {
    private final List<KnownRedList.Entry> entries;
    private final PrintStream out;

    /** Creates an extension for the list at the root. */
    public KnownRedExtension() throws IOException {
        this(KnownRedList.read(KnownRedList.FILE, Path.of("")), System.out);
    }

    KnownRedExtension(List<KnownRedList.Entry> entries, PrintStream out) {
        this.entries = entries;
        this.out = out;
    }

    private Optional<KnownRedList.Entry> entryOf(ExtensionContext context) {
        String test =
                context.getRequiredTestClass().getName()
                        + "#"
                        + context.getRequiredTestMethod().getName();
        return entries.stream().filter(entry -> entry.test().equals(test)).findFirst();
    }

    @Override
    public void handleTestExecutionException(ExtensionContext context, Throwable failure)
            throws Throwable {
        Optional<KnownRedList.Entry> entry = entryOf(context);
        if (entry.isEmpty() || failure instanceof TestAbortedException) {
            throw failure;
        }
        out.println("KNOWN RED, failed as listed: " + entry.get());
        throw new TestAbortedException("known red: " + entry.get(), failure);
    }

    @Override
    public void afterTestExecution(ExtensionContext context) {
        if (context.getExecutionException().isEmpty()) {
            entryOf(context)
                    .ifPresent(entry -> out.println("KNOWN RED, passed though listed: " + entry));
        }
    }
}
