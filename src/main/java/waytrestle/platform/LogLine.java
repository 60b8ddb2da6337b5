package waytrestle.platform;

/**
 * One line of the log: an event's name and its fields as {@code key=value}. Values with spaces,
 * quotes or equals signs are quoted, and line breaks in them are escaped.
 */
final class LogLine {
    private final StringBuilder text;

    LogLine(String event) {
        text = new StringBuilder(event);
    }

    /** Adds a field. */
    LogLine with(String key, Object value) {
        text.append(' ').append(key).append('=').append(quoteIfNeeded(String.valueOf(value)));
        return this;
    }

    private static String quoteIfNeeded(String value) {
        boolean plain = !value.isEmpty() && value.chars().noneMatch(LogLine::needsQuotes);
        if (plain) {
            return value;
        }
        String escaped =
                value.replace("\\", "\\\\")
                        .replace("\"", "\\\"")
                        .replace("\n", "\\n")
                        .replace("\r", "\\r");
        return '"' + escaped + '"';
    }

    private static boolean needsQuotes(int character) {
        return character <= ' ' || character == '"' || character == '=';
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
