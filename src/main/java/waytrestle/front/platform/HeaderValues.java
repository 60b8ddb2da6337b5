package waytrestle.front.platform;

import waytrestle.http.HttpMessage;

/** Checked values of headers. Stateless. */
final class HeaderValues {
    /** Longer numbers are out of any range. */
    private static final int MAX_NUMBER_LENGTH = 20;

    private HeaderValues() {}

    /** The one value of a header; of two none can be trusted. */
    static String single(HttpMessage message, String name) throws InvalidRequestException {
        if (message.occurrences(name) != 1) {
            throw InvalidRequestException.badRequest(name + " must be given once");
        }
        return message.header(name);
    }

    /** A number in digits alone, within the range. */
    static long integer(String text, long min, long max, String rejection)
            throws InvalidRequestException {
        return (long) number(text, min, max, false, rejection);
    }

    /** A number in digits with at most one point, from 0 to the maximum. */
    static double decimal(String text, double max, String rejection)
            throws InvalidRequestException {
        return number(text, 0, max, true, rejection);
    }

    private static double number(
            String text, double min, double max, boolean allowPoint, String rejection)
            throws InvalidRequestException {
        double value = parse(text, allowPoint);
        boolean inRange = value >= min && value <= max; // false for NaN
        if (!inRange) {
            throw InvalidRequestException.badRequest(rejection);
        }
        return value;
    }

    private static double parse(String text, boolean allowPoint) {
        boolean plain =
                !text.isEmpty()
                        && text.length() <= MAX_NUMBER_LENGTH
                        && text.chars().allMatch(c -> isDigit(c) || (allowPoint && c == '.'));
        if (!plain) {
            return Double.NaN;
        }
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN; // several points, or a point alone
        }
    }

    private static boolean isDigit(int character) {
        return character >= '0' && character <= '9';
    }
}
