package org.cypressweir.fleet.membership;

import java.util.Map;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.fleet.membership.MembershipMessage.Kind;
import org.cypressweir.fleet.membership.UpdateDisseminator.Updates;

/**
 * Decides whether the sender of a message is the process that holds its name. If a second process uses a name, the
 * holder is probed: if it responds, the newcomer is refused; if it stays silent, or another process responds in its
 * place, the name becomes free.
 */
final class NameConflictResolver {

    private final MembershipContext context;
    private final LocalMember localMember;
    private final MembershipView view;
    private final MonitoredPeers monitoredPeers;
    private final MessageSender sender;
    private final NameConflicts conflicts = new NameConflicts();

    NameConflictResolver(
            MembershipContext context,
            LocalMember localMember,
            MembershipView view,
            MonitoredPeers monitoredPeers,
            MessageSender sender) {
        this.context = context;
        this.localMember = localMember;
        this.view = view;
        this.monitoredPeers = monitoredPeers;
        this.sender = sender;
    }

    /** Applies what a sender says about itself; returns whether the sender is the process that holds its name. */
    boolean accept(long now, MembershipMessage message) {
        Peer from = message.from();
        MemberRecord known = context.table.get(from.name());
        if (known == null) {
            learnCandidate(now, from, 0, Map.of());
            return context.table.get(from.name()) != null;
        }
        if (known.peer().processId() == from.processId()) {
            acceptHolder(now, message, known);
            return true;
        }
        if (known.status().isEnded() && !context.table.isInView(from.name())) {
            return acceptSuccessor(now, message, known);
        }
        probeHolder(now, message, known);
        return false;
    }

    private void learnCandidate(long now, Peer peer, int version, Map<String, String> facts) {
        view.learn(now, new MemberRecord(peer, MemberStatus.CANDIDATE, version, facts, 0), peer.name());
    }

    private void acceptHolder(long now, MembershipMessage message, MemberRecord known) {
        Peer from = message.from();
        if (from.incarnation() > known.incarnation()) {
            learnCandidate(now, from, known.version(), known.facts());
        }
        if (isConflictResponse(message)) {
            Peer newcomer = conflicts.close(from.name());
            // The response may be the newcomer's own, if other members have meanwhile found the name to be free.
            if (newcomer.processId() != from.processId()) {
                refuse(now, newcomer, known.peer());
            }
        }
    }

    private boolean isConflictResponse(MembershipMessage message) {
        return message.kind() == Kind.ACK && conflicts.isResponse(message.from().name(), message.number());
    }

    /** Accepts a process that takes a free name; its incarnation must be above that of the previous holder. */
    private boolean acceptSuccessor(long now, MembershipMessage message, MemberRecord ended) {
        Peer from = message.from();
        if (from.incarnation() > ended.incarnation()) {
            learnCandidate(now, from, 0, Map.of());
            return true;
        }
        if (message.kind() == Kind.PING) {
            Updates endedRecord = Updates.of(context.table.withAge(now, ended));
            sender.send(now, from.address(), Kind.ACK, from.name(), message.number(), endedRecord);
        }
        return false;
    }

    private void probeHolder(long now, MembershipMessage message, MemberRecord holder) {
        Peer from = message.from();
        String name = from.name();
        if (isConflictResponse(message)) {
            conflicts.close(name);
            view.remove(now, name, "another process answers at its address");
            context.disseminate(now, context.table.get(name), "");
        } else if (conflicts.recordNewcomer(now, from, context.options.periodMicros())) {
            long number = monitoredPeers.startProbe(now, name);
            conflicts.probeSent(now, name, number);
            sender.send(now, holder.peer().address(), Kind.PING, name, number, Updates.NONE);
        }
    }

    /** Handles a message from another process that has this process's own name. */
    void receiveFromRival(long now, Peer rival) {
        boolean isSameIncarnation = rival.incarnation() == context.self.incarnation();
        boolean isFirst = isSameIncarnation && !context.ownRecord().isSupersededBy(rival);
        if (localMember.wasAdmitted() || isFirst) {
            refuse(now, rival, context.self);
        }
    }

    private void refuse(long now, Peer newcomer, Peer holder) {
        String reason = "name '" + newcomer.name() + "' is taken by the process at " + Addresses.text(holder.address())
                + ", which answers";
        sender.sendRefusal(now, newcomer, reason);
    }

    void expire(long now) {
        conflicts.expire(now, 4 * context.options.contactTimeoutMicros());
    }
}
