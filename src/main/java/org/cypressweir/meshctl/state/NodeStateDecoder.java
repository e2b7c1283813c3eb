package org.cypressweir.meshctl.state;

import java.io.IOException;
import org.cypressweir.meshctl.state.QuotaState.TenantDemand;
import org.cypressweir.meshctl.state.QuotaState.TenantQuota;
import org.cypressweir.meshctl.state.RejectionState.InstanceLoad;
import org.cypressweir.meshctl.state.RejectionState.RejectionCount;

/**
 * Decodes responses to the diagnostic calls. The names of fields are fixed, since processes may run different
 * builds. A field that is missing or of an unexpected type is not an error.
 */
public final class NodeStateDecoder {

    private static final String KIND = "kind";
    private static final String PROPOSAL = "stamp";
    private static final String STORE_OPEN = "open";
    private static final String STATE_LOST = "forgetful";
    private static final String UNHEALTHY = "sick";
    private static final String QUORUM_CONTACT = "inContact";
    private static final String VOTERS = "crew";
    private static final String REACHABLE = "heard";
    private static final String ITEM_COUNT = "items";
    private static final String ITEMS = "list";
    private static final String FLEET_DEMAND = "tallies";
    private static final String TENANTS = "tenants";
    private static final String TENANT_DEMAND = "asked";
    private static final String REJECTIONS = "refusals";
    private static final String OWN_INSTANCE = "own";
    private static final String QUEUED = "waiting";
    private static final String REQUESTS = "requests";

    private NodeStateDecoder() {}

    /** @throws IOException if the response is not one JSON object */
    public static NodeState decode(byte[] response) throws IOException {
        return decode(JsonObject.read(response));
    }

    private static NodeState decode(JsonObject response) {
        return new NodeState(
                response,
                response.get(KIND),
                KnownProcessesDecoder.process(response),
                replica(response),
                ItemDecoder.decodeAll(response.objects(ITEMS)),
                KnownProcessesDecoder.decode(response),
                KnownProcessesDecoder.services(response),
                quotas(response),
                rejections(response),
                TracedRequestDecoder.decodeAll(response.objects(REQUESTS)));
    }

    private static ReplicaState replica(JsonObject response) {
        return new ReplicaState(
                response.get(PROPOSAL),
                response.get(ITEM_COUNT),
                response.get(STORE_OPEN),
                response.get(STATE_LOST),
                response.get(UNHEALTHY),
                response.get(QUORUM_CONTACT),
                response.get("confirmedMs"),
                response.get(VOTERS),
                response.get(REACHABLE));
    }

    private static QuotaState quotas(JsonObject response) {
        JsonObject fleetDemand = response.object(FLEET_DEMAND);
        return new QuotaState(
                fleetDemand.names().stream()
                        .map(tenant -> new TenantDemand(tenant, fleetDemand.get(tenant)))
                        .toList(),
                response.objects(TENANTS).stream()
                        .map(NodeStateDecoder::tenantQuota)
                        .toList());
    }

    private static TenantQuota tenantQuota(JsonObject tenant) {
        return new TenantQuota(
                tenant.get("tenant"), tenant.get(TENANT_DEMAND), tenant.get("rate"), tenant.get("burst"));
    }

    private static RejectionState rejections(JsonObject response) {
        JsonObject counts = response.object(REJECTIONS);
        JsonObject load = response.object(OWN_INSTANCE);
        return new RejectionState(
                counts.names().stream()
                        .map(errorKind -> new RejectionCount(errorKind, counts.get(errorKind)))
                        .toList(),
                new InstanceLoad(load.get("running"), load.get(QUEUED), load.get("slots")));
    }
}
