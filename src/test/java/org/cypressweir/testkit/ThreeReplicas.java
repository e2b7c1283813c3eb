package org.cypressweir.testkit;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.controlplane.configuration.ConfigurationChange;
import org.cypressweir.controlplane.consensus.ConsensusOptions;
import org.cypressweir.controlplane.consensus.ConsensusReplica;
import org.cypressweir.controlplane.consensus.Effect;
import org.cypressweir.controlplane.consensus.ProposalResult;
import org.cypressweir.controlplane.storage.Store;

/** Three replicas with stores, whose messages arrive at once and in order. Counts messages, bytes and writes. */
public final class ThreeReplicas {

    private static final int COUNT = 3;
    private static final long TICK_MICROS = 50_000;
    private static final long TIMEOUT_MICROS = 60_000_000;

    private final ConsensusReplica[] replicas = new ConsensusReplica[COUNT];
    private final List<Store> stores;
    private final Deque<Runnable> pending = new ArrayDeque<>();
    private final Map<Long, ProposalResult> results = new HashMap<>();
    private long now = 1_000_000;
    private long proposalIds;
    private long sentBytes;
    private long messages;
    private long writes;

    public ThreeReplicas(List<Store> stores) {
        this.stores = stores;
        List<String> all = List.of("h1", "h2", "h3");
        for (int i = 0; i < COUNT; i++) {
            replicas[i] = new ConsensusReplica(
                    ConsensusOptions.defaults(), all.get(i), all, true, null, i + 1, new SplittableRandom(i), now);
            perform(i, replicas[i].start(now));
        }
        deliverAll();
    }

    /** Delivers all messages and completes all writes without advancing the time. */
    private void deliverAll() {
        while (!pending.isEmpty()) {
            pending.poll().run();
        }
    }

    /** Advances the time by one tick. */
    public void tick() {
        now += TICK_MICROS;
        for (int i = 0; i < COUNT; i++) {
            perform(i, replicas[i].tick(now));
        }
        deliverAll();
    }

    /** Submits a change to the first replica, or a read if the body is null; returns its result. */
    public ProposalResult submit(String body) {
        long proposalId = ++proposalIds;
        ConfigurationChange change = body == null
                ? null
                : ConfigurationChange.read(body.getBytes(StandardCharsets.UTF_8))
                        .get();
        perform(0, replicas[0].submit(now, proposalId, change, now + TIMEOUT_MICROS));
        deliverAll();
        for (int i = 0; i < 200 && !results.containsKey(proposalId); i++) {
            tick();
        }
        return results.get(proposalId);
    }

    private void perform(int i, List<Effect> effects) {
        for (Effect effect : effects) {
            if (effect instanceof Effect.Send send) {
                int to = send.to().charAt(1) - '1';
                messages++;
                sentBytes += JsonCodec.bytes(send.message()).length;
                Map<String, Object> message = JsonCopy.map(send.message());
                pending.add(() -> perform(to, replicas[to].received(now, "h" + (i + 1), message)));
            } else if (effect instanceof Effect.Write write) {
                writes++;
                pending.add(() -> perform(i, replicas[i].written(now, write.number(), written(i, write))));
            } else if (effect instanceof Effect.Answer answer) {
                results.put(answer.proposalId(), answer.result());
            }
        }
    }

    private boolean written(int i, Effect.Write write) {
        try {
            stores.get(i).write(write.update());
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    public long sentBytes() {
        return sentBytes;
    }

    public long messages() {
        return messages;
    }

    public long writes() {
        return writes;
    }
}
