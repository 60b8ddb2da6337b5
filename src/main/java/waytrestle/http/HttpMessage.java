package waytrestle.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import waytrestle.Bytes;

/**
 * A request or response. Filled by {@link HttpParser}, complete when {@link HttpParser#next}
 * returns it. Header lines are kept in the order received, with their names in lower case.
 */
public final class HttpMessage {
    /** An empty body. */
    public static final byte[] NO_BODY = new byte[0];

    Bytes content = Bytes.NONE;
    String method = "", target = "", reason = "";
    int status;
    boolean http10, endedByClose, hasStatedLength;
    final List<String> headerNames = new ArrayList<>(), headerValues = new ArrayList<>();

    /** Returns the request method; empty for a response. */
    public String method() {
        return method;
    }

    /** Returns the request target as sent; empty for a response. */
    public String target() {
        return target;
    }

    /** Returns the path of the request target, without the query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Returns the value of a query parameter, not decoded, or null if it is missing. */
    public String queryParameter(String name) {
        int query = target.indexOf('?');
        if (query >= 0) {
            for (String parameter : target.substring(query + 1).split("&")) {
                if (parameter.startsWith(name + "=")) {
                    return parameter.substring(name.length() + 1);
                }
            }
        }
        return null;
    }

    /** Returns the response status; 0 for a request. */
    public int status() {
        return status;
    }

    /** Returns the body in one array. {@link #content} avoids the copy of a large body. */
    public byte[] body() {
        return content.array();
    }

    /** Returns the body in the segments in which it was received. */
    public Bytes content() {
        return content;
    }

    /** Returns the value of the first header with a name, given in lower case, or null. */
    public String header(String name) {
        int index = headerNames.indexOf(name);
        return index < 0 ? null : headerValues.get(index);
    }

    /** Returns the number of header lines with a name, given in lower case. */
    public int occurrences(String name) {
        int count = 0;
        for (String headerName : headerNames) {
            count += headerName.equals(name) ? 1 : 0;
        }
        return count;
    }

    /**
     * Returns the values of all headers with a name, given in lower case, joined by commas as RFC
     * 9110 allows a recipient to do; null without any.
     */
    public String joinedHeader(String name) {
        StringBuilder joined = null;
        for (int i = 0; i < headerNames.size(); i++) {
            if (headerNames.get(i).equals(name)) {
                joined =
                        joined == null
                                ? new StringBuilder(headerValues.get(i))
                                : joined.append(", ").append(headerValues.get(i));
            }
        }
        return joined == null ? null : joined.toString();
    }

    /**
     * Returns whether the comma-separated values of a header contain a token, compared without
     * regard to case. Name and token are given in lower case.
     */
    public boolean hasHeaderToken(String name, String token) {
        String tokens = joinedHeader(name);
        if (tokens != null) {
            for (String element : tokens.split(",")) {
                if (element.trim().toLowerCase(Locale.ROOT).equals(token)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Returns whether the sender lets the connection be used for another request. */
    public boolean keepsAlive() {
        return http10
                ? hasHeaderToken("connection", "keep-alive")
                : !hasHeaderToken("connection", "close");
    }

    /**
     * Returns whether only the close of the connection ended the body, so that nothing shows
     * whether the body is complete.
     */
    public boolean endedByClose() {
        return endedByClose;
    }

    /** Returns whether a Content-Length alone, which may be 0, tells where the body ends. */
    public boolean hasStatedLength() {
        return hasStatedLength;
    }

    /** Returns the number of header lines. */
    public int headerCount() {
        return headerNames.size();
    }

    /** Returns the name of a header line in lower case, by its index from 0. */
    public String headerName(int index) {
        return headerNames.get(index);
    }

    /** Returns the value of a header line, by its index from 0. */
    public String headerValue(int index) {
        return headerValues.get(index);
    }
}
