package org.cypressweir.meshctl.state;

import java.io.IOException;
import org.cypressweir.meshctl.state.QuotaState.TenantDemand;
import org.cypressweir.meshctl.state.QuotaState.TenantQuota;
import org.cypressweir.meshctl.state.RejectionState.InstanceLoad;
import org.cypressweir.meshctl.state.RejectionState.RejectionCount;

/**
 * Decodes answers to the diagnostic calls. The names of fields are fixed, since builds may be mixed. A field that is
 * missing or of an unexpected type is no error.
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

    /** @throws IOException where the answer is not one JSON object */
    public static NodeState decode(byte[] answer) throws IOException {
        return decode(JsonObject.read(answer));
    }

    private static NodeState decode(JsonObject answer) {
        return new NodeState(
                answer,
                answer.get(KIND),
                KnownProcessesDecoder.process(answer),
                replica(answer),
                ItemDecoder.decodeAll(answer.objects(ITEMS)),
                KnownProcessesDecoder.decode(answer),
                KnownProcessesDecoder.services(answer),
                quotas(answer),
                rejections(answer),
                TracedRequestDecoder.decodeAll(answer.objects(REQUESTS)));
    }

    private static ReplicaState replica(JsonObject answer) {
        return new ReplicaState(
                answer.get(PROPOSAL),
                answer.get(ITEM_COUNT),
                answer.get(STORE_OPEN),
                answer.get(STATE_LOST),
                answer.get(UNHEALTHY),
                answer.get(QUORUM_CONTACT),
                answer.get("confirmedMs"),
                answer.get(VOTERS),
                answer.get(REACHABLE));
    }

    private static QuotaState quotas(JsonObject answer) {
        JsonObject fleetDemand = answer.object(FLEET_DEMAND);
        return new QuotaState(
                fleetDemand.names().stream()
                        .map(tenant -> new TenantDemand(tenant, fleetDemand.get(tenant)))
                        .toList(),
                answer.objects(TENANTS).stream()
                        .map(NodeStateDecoder::tenantQuota)
                        .toList());
    }

    private static TenantQuota tenantQuota(JsonObject tenant) {
        return new TenantQuota(
                tenant.get("tenant"), tenant.get(TENANT_DEMAND), tenant.get("rate"), tenant.get("burst"));
    }

    private static RejectionState rejections(JsonObject answer) {
        JsonObject counts = answer.object(REJECTIONS);
        JsonObject load = answer.object(OWN_INSTANCE);
        return new RejectionState(
                counts.names().stream()
                        .map(errorKind -> new RejectionCount(errorKind, counts.get(errorKind)))
                        .toList(),
                new InstanceLoad(load.get("running"), load.get(QUEUED), load.get("slots")));
    }
}
