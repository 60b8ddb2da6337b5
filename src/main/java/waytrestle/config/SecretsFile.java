package waytrestle.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Reads a file of webhook secrets, one per line. Empty lines and lines that begin with # are
 * ignored.
 */
public final class SecretsFile {
    /** Permissions by which users other than the owner could read or replace the secrets. */
    private static final Set<PosixFilePermission> FORBIDDEN_PERMISSIONS =
            Set.of(
                    PosixFilePermission.GROUP_READ,
                    PosixFilePermission.GROUP_WRITE,
                    PosixFilePermission.OTHERS_READ,
                    PosixFilePermission.OTHERS_WRITE);

    private SecretsFile() {}

    /**
     * Returns the secrets of a file, with their prefixes, in the order of the lines.
     *
     * @throws IOException if the file cannot be read, other users may read or write it, it contains
     *     no secret, or a line is not a valid secret. The message never contains a secret; for an
     *     invalid line it gives the line number.
     */
    public static List<String> read(String file) throws IOException {
        Path path = Path.of(file);
        if (!Files.isRegularFile(path)) {
            throw new IOException(file + ": does not exist or is not a regular file");
        }
        if (path.getFileSystem().supportedFileAttributeViews().contains("posix")) {
            for (PosixFilePermission permission : Files.getPosixFilePermissions(path)) {
                if (FORBIDDEN_PERMISSIONS.contains(permission)) {
                    throw new IOException(
                            file
                                    + ": must be readable and writable by its owner alone; run"
                                    + " chmod 600");
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
            String error = SecretFormat.describeError(line);
            if (error != null) {
                throw new IOException(file + ":" + (i + 1) + ": " + error);
            }
            secrets.add(line);
        }
        if (secrets.isEmpty()) {
            throw new IOException(file + ": contains no secret");
        }
        return secrets;
    }
}
