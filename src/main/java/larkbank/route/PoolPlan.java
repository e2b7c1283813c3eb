package larkbank.route;

import java.util.List;

/**
 * What a pool is made of: one decision module and its connections.
 *
 * @param servers null where discovery tells them
 * @param connections to all its servers together, at most
 * @param requests in hand, at most
 * @param queue of them without a server, at most
 */
public record PoolPlan(String name, List<StaticServer> servers, int connections, int requests, int queue) {

    /** Whether discovery tells its servers. */
    public boolean discovered() {
        return servers == null;
    }
}
