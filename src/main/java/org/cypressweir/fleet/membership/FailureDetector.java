package org.cypressweir.fleet.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.cypressweir.fleet.membership.MonitoredPeers.Link;
import org.cypressweir.fleet.membership.SuspicionTable.Decision;

/**
 * Reports contacts that this process has lost or regained, collects the reports of other members, and removes members
 * as {@link SuspicionTable} decides.
 */
final class FailureDetector {

    /**
     * Maximum number of removals of one decision that are disseminated. If there are more, none is: other members
     * decide the same from the same reports.
     */
    private static final int MAX_DISSEMINATED_REMOVALS = 8;

    private final MembershipContext context;
    private final LocalMember localMember;
    private final MembershipView view;
    private final MonitoredPeers monitoredPeers;
    private final MonitoringTopology topology;
    private final FailureReports reports = new FailureReports();
    private final SuspicionTable suspicions;
    /** Members in the view that can't be reached through neighbors, and are probed directly. */
    private Set<String> unreachable = Set.of();
    /** Whether something has changed since the last decision. */
    private boolean isOutdated;

    private long nextDecisionAt;
    private int reportNumber;

    FailureDetector(
            MembershipContext context,
            LocalMember localMember,
            MembershipView view,
            MonitoredPeers monitoredPeers,
            MonitoringTopology topology) {
        this.context = context;
        this.localMember = localMember;
        this.view = view;
        this.monitoredPeers = monitoredPeers;
        this.topology = topology;
        suspicions = new SuspicionTable(context.options.graceMicros());
    }

    void reconfigure() {
        suspicions.reconfigure(context.options.graceMicros());
    }

    void invalidate() {
        isOutdated = true;
    }

    /** Discards all reports and suspicions about this name. */
    void forget(String name) {
        reports.forget(name);
        suspicions.forget(name);
        isOutdated = true;
    }

    void excludePause(long pausedMicros) {
        suspicions.excludePause(pausedMicros);
    }

    Set<String> unreachable() {
        return unreachable;
    }

    boolean isSuspected(MemberRecord member) {
        return unreachable.contains(member.name())
                || reports.about(member.name()).stream()
                        .anyMatch(report -> report.isLost() && report.subjectIncarnation() == member.incarnation());
    }

    /** Reports the monitored peers with which contact was lost or regained. */
    void reportChanges(long now) {
        for (Link link : monitoredPeers.changedLinks(now)) {
            report(now, link.name, link.isLost);
        }
    }

    void report(long now, String name, boolean isLost) {
        MemberRecord member = context.table.get(name);
        if (member == null || !context.table.isInView(name)) {
            return;
        }
        FailureReport report = new FailureReport(
                context.self.name(), context.self.incarnation(), name, member.incarnation(), ++reportNumber, isLost);
        Link link = monitoredPeers.find(name);
        if (link != null) {
            link.lastReportAt = now;
        }
        reports.add(now, report);
        context.disseminate(now, report, "");
        isOutdated = true;
    }

    /** Repeats reports that still hold, since reports expire. */
    void repeatReports(long now) {
        long repeatMicros = FailureReports.REPEAT_PERIODS * context.options.periodMicros();
        for (Link link : monitoredPeers.links()) {
            if (now - link.lastReportAt > repeatMicros && isWorthRepeating(now, link)) {
                report(now, link.name, link.isLost);
            }
        }
    }

    private boolean isWorthRepeating(long now, Link link) {
        if (link.isLost || topology.isDirectContact(link.name)) {
            return true;
        }
        return isReportedLostByOthers(link.name) && monitoredPeers.isInContact(now, link.name);
    }

    private boolean isReportedLostByOthers(String name) {
        return reports.about(name).stream().anyMatch(report -> report.isLost() && !context.isSelf(report.reporter()));
    }

    /** Handles a report by another member; contradicts it if this process is in contact with the subject. */
    void receive(long now, FailureReport report, String from) {
        if (!isValid(report) || !reports.add(now, report)) {
            return;
        }
        isOutdated = true;
        context.disseminate(now, report, from);
        String subject = report.subject();
        if (report.isLost() && monitoredPeers.isInContact(now, subject) && isContradictionDue(now, subject)) {
            report(now, subject, false);
        }
    }

    private boolean isValid(FailureReport report) {
        MemberRecord subject = context.table.get(report.subject());
        MemberRecord reporter = context.table.get(report.reporter());
        return subject != null
                && reporter != null
                && !context.isSelf(report.reporter())
                && subject.incarnation() == report.subjectIncarnation()
                && context.table.isInView(report.subject())
                && reporter.incarnation() == report.reporterIncarnation();
    }

    private boolean isContradictionDue(long now, String subject) {
        FailureReport own = reports.findBy(context.self.name(), subject);
        long sinceOwnMicros = now - monitoredPeers.find(subject).lastReportAt;
        return own == null || own.isLost() || sinceOwnMicros > context.options.graceMicros();
    }

    void decideIfDue(long now) {
        boolean isDue = isOutdated && now >= nextDecisionAt;
        if (isDue || now >= suspicions.nextDecisionAt()) {
            decide(now);
        }
    }

    private void decide(long now) {
        isOutdated = false;
        if (localMember.isCandidate()) {
            unreachable = Set.of();
            suspicions.clear();
            return;
        }
        // Limits the rate of decisions: reports arrive in bursts, and each decision walks the whole view.
        nextDecisionAt = now + 2 * context.options.tickMicros();
        if (reports.isEmpty() && suspicions.nextDecisionAt() == SuspicionTable.NEVER) {
            unreachable = Set.of();
            return;
        }
        Decision decision = suspicions.decide(now, topology.rings(now), context.self.name(), context.table, reports);
        unreachable = decision.unreachable();
        if (!unreachable.isEmpty() || !decision.removed().isEmpty()) {
            topology.freeze(now);
        }
        boolean disseminatesRemovals = decision.removed().size() <= MAX_DISSEMINATED_REMOVALS;
        for (String name : decision.removed()) {
            view.remove(now, name, causeOfRemoval(name));
            if (disseminatesRemovals) {
                context.disseminate(now, context.table.get(name), "");
            }
        }
    }

    private String causeOfRemoval(String name) {
        List<String> reporters = new ArrayList<>();
        for (FailureReport report : reports.about(name)) {
            if (report.isLost()) {
                reporters.add(report.reporter());
            }
        }
        reporters.sort(null);
        return reporters.isEmpty() ? "unreachable" : "reported lost by " + String.join(", ", reporters);
    }

    void expireReports(long now) {
        isOutdated |= reports.expire(now, context.options.periodMicros());
    }
}
