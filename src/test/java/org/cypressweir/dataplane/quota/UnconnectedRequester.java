package org.cypressweir.dataplane.quota;

import java.util.List;
import java.util.Map;

/** A {@link TokenRequester} of a proxy that is connected to no controller. */
public class UnconnectedRequester implements TokenRequester {

    @Override
    public List<String> controllers() {
        return List.of();
    }

    @Override
    public void requestTokens(String controller, String tenant, int count) {
        throw new AssertionError("no controller is connected: " + controller);
    }

    @Override
    public void giveTokens(String controller, Map<String, Integer> tokensByTenant) {
        throw new AssertionError("no controller is connected: " + controller);
    }
}
