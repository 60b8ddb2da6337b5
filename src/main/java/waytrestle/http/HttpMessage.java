package waytrestle.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import waytrestle.Bytes;

/** A whole request or response. Header names are kept in lower case, in order. */
public final class HttpMessage {
    public static final byte[] NO_BODY = new byte[0];
    Bytes content = Bytes.NONE;
    String method = "", target = "", reason = "";
    int status;
    boolean http10, endedByClose;
    final List<String> headerNames = new ArrayList<>(), headerValues = new ArrayList<>();

    public String method() {
        return method;
    }

    public String target() {
        return target;
    }

    /** The target's path, without the query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** A query parameter as sent, or null. */
    public String queryParameter(String name) {
        int at = target.indexOf('?');
        if (at >= 0) {
            for (String each : target.substring(at + 1).split("&")) {
                if (each.startsWith(name + "=")) {
                    return each.substring(name.length() + 1);
                }
            }
        }
        return null;
    }

    public int status() {
        return status;
    }

    /** The body in one array; for a large one see {@link #content}. */
    public byte[] body() {
        return content.array();
    }

    /** The body as it came. */
    public Bytes content() {
        return content;
    }

    /** The first value under a lower-case name, or null. */
    public String header(String name) {
        int i = headerNames.indexOf(name);
        return i < 0 ? null : headerValues.get(i);
    }

    public int occurrences(String name) {
        int n = 0;
        for (String each : headerNames) {
            n += each.equals(name) ? 1 : 0;
        }
        return n;
    }

    /** All values under a name, joined by commas as RFC 9110 lets a recipient do. */
    public String joinedHeader(String name) {
        StringBuilder all = null;
        for (int i = 0; i < headerNames.size(); i++) {
            if (headerNames.get(i).equals(name)) {
                all =
                        all == null
                                ? new StringBuilder(headerValues.get(i))
                                : all.append(", ").append(headerValues.get(i));
            }
        }
        return all == null ? null : all.toString();
    }

    public boolean hasHeaderToken(String name, String token) {
        String all = joinedHeader(name);
        if (all != null) {
            for (String each : all.split(",")) {
                if (each.trim().toLowerCase(Locale.ROOT).equals(token)) {
                    return true;
                }
            }
        }
        return false;
    }

    public boolean keepsAlive() {
        return http10
                ? hasHeaderToken("connection", "keep-alive")
                : !hasHeaderToken("connection", "close");
    }

    /** Whether only the close of its connection ended it: nothing tells then that it is whole. */
    public boolean endedByClose() {
        return endedByClose;
    }

    public int headerCount() {
        return headerNames.size();
    }

    public String headerName(int i) {
        return headerNames.get(i);
    }

    public String headerValue(int i) {
        return headerValues.get(i);
    }
}
