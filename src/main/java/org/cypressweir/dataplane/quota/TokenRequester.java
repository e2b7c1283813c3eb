package org.cypressweir.dataplane.quota;

import java.util.List;
import java.util.Map;

/** How a proxy reaches the controllers' {@link TokenPool}s. */
public interface TokenRequester {

    /** The names of the controllers that are connected now. */
    List<String> controllers();

    /** Asks a controller for tokens of a tenant; the response is passed to {@link QuotaGate#tokensReceived}. */
    void requestTokens(String controller, String tenant, int count);

    /** Gives a controller tokens that are not needed here. If the message is lost, so are the tokens. */
    void giveTokens(String controller, Map<String, Integer> tokensByTenant);
}
