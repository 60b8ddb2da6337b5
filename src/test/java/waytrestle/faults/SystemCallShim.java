package waytrestle.faults;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Assumptions;

/** Builds the library that lets system calls fail, once, from its source beside the tests. */
public final class SystemCallShim {
    private static final Path SOURCE = Path.of("src/test/c/system_call_faults.c");
    private static final Path FOLDER = Path.of("target/shim");
    private static final String COMPILER = "cc";
    private static final long COMPILER_SECONDS = 60;

    private static Path library;

    private SystemCallShim() {}

    /**
     * The library; skips the calling test, and says so, where there is no C compiler.
     *
     * @throws IOException when the source does not compile
     */
    public static synchronized Path library() throws IOException, InterruptedException {
        Assumptions.assumeTrue(
                hasCompiler(),
                "NOT RUN: no C compiler (" + COMPILER + "), so no system call can be made to fail");
        if (library == null) {
            library = build();
        }
        return library;
    }

    /** Adds the shim with its plan to the environment of a process that is to be started. */
    public static void preload(ProcessBuilder process, FaultPlan plan, int seed)
            throws IOException, InterruptedException {
        process.environment().put("LD_PRELOAD", library().toString());
        process.environment().put(FaultPlan.FILE_VARIABLE, plan.file().toString());
        process.environment().put(FaultPlan.SEED_VARIABLE, Integer.toString(seed));
    }

    private static boolean hasCompiler() throws InterruptedException {
        try {
            return run(COMPILER, "--version").isEmpty();
        } catch (IOException e) {
            return false;
        }
    }

    private static Path build() throws IOException, InterruptedException {
        Files.createDirectories(FOLDER);
        Path built = Files.createTempFile(FOLDER, "faults", ".so").toAbsolutePath();
        built.toFile().deleteOnExit();
        String failure =
                run(
                        COMPILER,
                        "-O2",
                        "-Wall",
                        "-Werror",
                        "-shared",
                        "-fPIC",
                        "-o",
                        built.toString(),
                        SOURCE.toString(),
                        "-ldl");
        if (!failure.isEmpty()) {
            throw new IOException(SOURCE + " does not compile: " + failure);
        }
        return built;
    }

    /** Runs a command; what it printed where it failed, else nothing. */
    private static String run(String... command) throws IOException, InterruptedException {
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String printed =
                new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        boolean ended = process.waitFor(COMPILER_SECONDS, TimeUnit.SECONDS);
        return ended && process.exitValue() == 0 ? "" : printed + " (failed)";
    }
}
