package waytrestle.platform;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The address of each listed invoker.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class InvokerAddresses {
    private final Map<String, InetSocketAddress> byInvoker = new HashMap<>();

    /** Sets an invoker's address; true when it had another one before. */
    boolean update(String invoker, InetSocketAddress address) {
        InetSocketAddress previous = byInvoker.put(invoker, address);
        return previous != null && !previous.equals(address);
    }

    /** The address of an invoker, null when it is not listed. */
    InetSocketAddress get(String invoker) {
        return byInvoker.get(invoker);
    }

    /** Forgets an invoker. */
    void remove(String invoker) {
        byInvoker.remove(invoker);
    }

    /** Forgets all other invokers. */
    void retainOnly(Set<String> invokers) {
        byInvoker.keySet().retainAll(invokers);
    }

    /** Number of invokers whose address is known. */
    int size() {
        return byInvoker.size();
    }
}
