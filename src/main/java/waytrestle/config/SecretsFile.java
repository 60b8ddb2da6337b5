package waytrestle.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** A file of webhook secrets, one a line; empty lines and lines that begin with # are left out. */
public final class SecretsFile {
    private static final Set<PosixFilePermission> OTHERS =
            Set.of(
                    PosixFilePermission.GROUP_READ,
                    PosixFilePermission.GROUP_WRITE,
                    PosixFilePermission.OTHERS_READ,
                    PosixFilePermission.OTHERS_WRITE);

    private SecretsFile() {}

    /**
     * The secrets; an exception's message says what is wrong, with the line, and never holds a
     * secret.
     */
    public static List<String> read(String file) throws IOException {
        Path path = Path.of(file);
        if (!Files.isRegularFile(path)) {
            throw new IOException(file + ": is no file that can be read");
        }
        if (path.getFileSystem().supportedFileAttributeViews().contains("posix")) {
            for (PosixFilePermission each : Files.getPosixFilePermissions(path)) {
                if (OTHERS.contains(each)) {
                    throw new IOException(
                            file + ": others than its owner may read or write it; chmod 600");
                }
            }
        }
        List<String> secrets = new ArrayList<>();
        List<String> lines = Files.readAllLines(path);
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).strip();
            if (line.isEmpty() || line.startsWith("#")) {
                continue;
            }
            String wrong = SecretFormat.describeError(line);
            if (wrong != null) {
                throw new IOException(file + ":" + (i + 1) + ": " + wrong);
            }
            secrets.add(line);
        }
        if (secrets.isEmpty()) {
            throw new IOException(file + ": holds no secret");
        }
        return secrets;
    }
}
