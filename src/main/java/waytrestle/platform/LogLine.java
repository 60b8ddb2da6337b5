package waytrestle.platform;

/**
 * Builds one line of the log: an event's name and its fields as {@code key=value}. Empty values and
 * values with whitespace, control characters, quotes or equals signs are quoted; backslashes,
 * quotes and line breaks in quoted values are escaped.
 */
final class LogLine {
    private final StringBuilder text;

    LogLine(String event) {
        text = new StringBuilder(event);
    }

    /** Appends a field and returns this line. */
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
