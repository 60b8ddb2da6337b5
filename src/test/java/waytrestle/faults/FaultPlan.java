package waytrestle.faults;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;

/**
 * The file by which a test tells the shim of one process which system calls fail. It is shared
 * memory: rules hold from the moment they are set, and the shim counts their failures in it. The
 * layout is that of {@code struct fault_plan} in {@code system_call_faults.c}.
 */
public final class FaultPlan implements AutoCloseable {
    /** Environment variable that names the file to the shim. */
    public static final String FILE_VARIABLE = "SYSTEM_CALL_FAULTS";

    /** Environment variable with the seed of the shim's random choices. */
    public static final String SEED_VARIABLE = "SYSTEM_CALL_FAULTS_SEED";

    private static final int MAX_RULES = 16;
    private static final int INTS_PER_RULE = 10;
    private static final int ENABLED = 0;
    private static final int CLOCK_OFFSET = Integer.BYTES;
    private static final int RULES = 2 * Integer.BYTES;
    private static final int RULE_BYTES = INTS_PER_RULE * Integer.BYTES;
    private static final int HITS = (INTS_PER_RULE - 1) * Integer.BYTES;
    private static final int SIZE = RULES + MAX_RULES * RULE_BYTES;

    private final Path file;
    private final MappedByteBuffer shared;

    /** Creates a plan without rules. */
    public FaultPlan() throws IOException {
        this(Files.createTempFile("faults", ".plan"));
    }

    /** Opens a plan, as the process that it is for may do. */
    public FaultPlan(Path file) throws IOException {
        this.file = file;
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            if (channel.size() < SIZE) {
                channel.write(ByteBuffer.allocate(SIZE), 0);
            }
            shared = channel.map(FileChannel.MapMode.READ_WRITE, 0, SIZE);
            shared.order(ByteOrder.nativeOrder());
        }
    }

    /** The file to name to the shim. */
    public Path file() {
        return file;
    }

    /** Replaces all rules; without any no call fails. */
    public void set(FaultRule... rules) {
        set(List.of(rules));
    }

    /** Replaces all rules; without any no call fails. */
    public void set(List<FaultRule> rules) {
        shared.putInt(ENABLED, 0);
        for (int i = 0; i < MAX_RULES; i++) {
            writeRule(RULES + i * RULE_BYTES, i < rules.size() ? rules.get(i) : null);
        }
        shared.putInt(ENABLED, rules.isEmpty() ? 0 : 1);
    }

    private void writeRule(int offset, FaultRule rule) {
        int[] values = new int[INTS_PER_RULE];
        if (rule != null) {
            values =
                    new int[] {
                        rule.call().ordinal(),
                        rule.kind().ordinal(),
                        rule.error().number(),
                        rule.permille(),
                        rule.skip(),
                        rule.count(),
                        rule.lastsMillis(),
                        rule.performs(),
                        rule.port(),
                        0
                    };
        }
        for (int i = 0; i < INTS_PER_RULE; i++) {
            shared.putInt(offset + i * Integer.BYTES, values[i]);
        }
    }

    /** How many calls have failed by the rule of this index. */
    public int hits(int rule) {
        return shared.getInt(RULES + rule * RULE_BYTES + HITS);
    }

    /** How many calls have failed by any of the present rules. */
    public int hits() {
        int sum = 0;
        for (int i = 0; i < MAX_RULES; i++) {
            sum += hits(i);
        }
        return sum;
    }

    /** Steps the process's wall clock away from the machine's; its monotonic clock runs on. */
    public void stepWallClock(int offsetMillis) {
        shared.putInt(CLOCK_OFFSET, offsetMillis);
    }

    @Override
    public void close() throws IOException {
        Files.deleteIfExists(file);
    }
}
