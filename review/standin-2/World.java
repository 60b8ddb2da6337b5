import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

/** One run of a case: the record, the stand-ins and the controllers, which it ends in any case. */
final class World implements AutoCloseable {
    final Path root;
    final Path folder;
    final Record record;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<ControllerProcess> controllers = new ArrayList<>();
    private final Random random = new Random();

    World(Path caseFolder) throws IOException {
        root = caseFolder.toAbsolutePath().normalize().getParent().getParent();
        folder = Files.createTempDirectory("waytrestle-review");
        record = new Record(caseFolder.resolve("record.txt"));
        record.line(trouble ? "with the disruption" : "without the disruption");
        Runtime.getRuntime().addShutdownHook(new Thread(this::killControllers));
    }

    ControllerProcess controller(String name) throws IOException {
        ControllerProcess controller =
                new ControllerProcess(name, root, folder.resolve(name));
        controllers.add(controller);
        return controller;
    }

    synchronized String newId() {
        return String.format("%016x", random.nextLong());
    }

    static String function(int number) {
        return String.format("%016x", 0x7c55d20a00L + number);
    }

    private void killControllers() {
        for (ControllerProcess controller : controllers) {
            try {
                controller.kill();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Returns the last core that this process may use. */
    static int lastCore() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
            if (line.startsWith("Cpus_allowed_list:")) {
                String[] cores = line.substring(line.indexOf(':') + 1).trim().split("[,-]");
                return Integer.parseInt(cores[cores.length - 1]);
            }
        }
        throw new IOException("the cores of this process are not known");
    }

    @Override
    public void close() throws IOException {
        killControllers();
        for (ControllerProcess controller : controllers) {
            if (Files.exists(controller.log())) {
                record.line("log of controller " + controller.name + ":");
                List<String> lines = Files.readAllLines(controller.log());
                for (String line : lines.subList(Math.max(0, lines.size() - 40), lines.size())) {
                    record.line("  " + line);
                }
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
        record.close();
    }

    /** A case: returns normally once all has been checked. */
    interface Body {
        void run(World world) throws Exception;
    }

    /** Runs a case and returns its exit code: 0 held, 1 broken, 2 it could not run. */
    static int run(Path caseFolder, Body body) {
        World world;
        try {
            world = new World(caseFolder);
        } catch (IOException e) {
            e.printStackTrace();
            return 2;
        }
        int code;
        try (world) {
            body.run(world);
            List<String> breaks = world.record.breaks();
            code = world.record.failure() != null ? 2 : breaks.isEmpty() ? 0 : 1;
            String verdict = code == 0 ? "the rule held" : code == 1 ? "the rule was broken" : "";
            world.record.line(verdict + ", breaks: " + breaks.size());
            System.out.println(verdict + ", breaks: " + breaks.size());
            for (String text : breaks.subList(0, Math.min(5, breaks.size()))) {
                System.out.println("  " + text);
            }
        } catch (Exception e) {
            world.record.failed(e);
            code = 2;
        }
        return code;
    }
}
