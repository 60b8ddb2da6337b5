package waytrestle.front.platform;

import waytrestle.http.HttpMessage;

/** Reads and validates the values of headers. Stateless. */
final class HeaderValues {
    /** Limit in characters: a number with more is out of the range of every header. */
    private static final int MAX_NUMBER_LENGTH = 20;

    private HeaderValues() {}

    /**
     * Returns the only value of a header. A header that occurs several times is rejected, since it
     * is unknown which value the client means.
     */
    static String single(HttpMessage message, String name) throws InvalidRequestException {
        if (message.occurrences(name) != 1) {
            throw InvalidRequestException.badRequest(name + " must be given once");
        }
        return message.header(name);
    }

    /**
     * Parses a number that consists of digits only and lies in the range.
     *
     * @param rejectionMessage message of the exception for any other text
     */
    static long integer(String text, long min, long max, String rejectionMessage)
            throws InvalidRequestException {
        return (long) number(text, min, max, false, rejectionMessage);
    }

    /**
     * Parses a number from 0 to the maximum that consists of digits and at most one decimal point.
     *
     * @param rejectionMessage message of the exception for any other text
     */
    static double decimal(String text, double max, String rejectionMessage)
            throws InvalidRequestException {
        return number(text, 0, max, true, rejectionMessage);
    }

    private static double number(
            String text, double min, double max, boolean allowPoint, String rejectionMessage)
            throws InvalidRequestException {
        double value = parse(text, allowPoint);
        boolean inRange = value >= min && value <= max; // false for NaN
        if (!inRange) {
            throw InvalidRequestException.badRequest(rejectionMessage);
        }
        return value;
    }

    /** Returns the value of a decimal number, NaN for any other text. */
    private static double parse(String text, boolean allowPoint) {
        boolean isDecimal =
                !text.isEmpty()
                        && text.length() <= MAX_NUMBER_LENGTH
                        && text.chars().allMatch(c -> isDigit(c) || (allowPoint && c == '.'));
        if (!isDecimal) {
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
