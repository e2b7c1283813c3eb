package org.cypressweir.controlplane.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Method;
import java.nio.file.Path;
import org.cypressweir.testkit.PlantedFault;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The drawn days find faults that are planted. */
class PlantedConsensusFaultsTest {

    private static final int DAYS = 200;
    private static final int LOSSES = 40;
    private static final int OVERLAPS = 40;

    @TempDir
    Path folder;

    private ClassLoader planted(String file, String text, String instead) throws Exception {
        return new PlantedFault(
                folder,
                Path.of("src/main/java/org/cypressweir/controlplane/consensus"),
                file,
                text,
                instead,
                name -> name.startsWith("org.cypressweir.testkit.Consensus")
                        || name.startsWith("org.cypressweir.testkit.SimulatedReplicas")
                        || name.startsWith("org.cypressweir.testkit.MachineLosses")
                        || name.startsWith("org.cypressweir.testkit.OverlappingLosses")
                        || name.startsWith("org.cypressweir.testkit.JsonCopy"));
    }

    /** Faults that lose nothing, but leave no majority. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "nobody is removed while two are unresponsive ~ VoterMonitor.java "
                        + "~ return unresponsive.isEmpty() ? firstLeaving(voters) : unresponsive.get(0); "
                        + "~ return unresponsive.isEmpty() ? firstLeaving(voters) "
                        + ": unresponsive.size() > 1 ? null : unresponsive.get(0);",
                "an unresponsive voter stays ~ VoterMonitor.java "
                        + "~ peers.silenceMicros(voter) >= limitMicros).toList(); "
                        + "~ false).toList();",
                "a lost disk stays until it has been unresponsive ~ VoterMonitor.java ~ if (peers.replaced(voter)) { "
                        + "~ if (false) {",
                "a standby is not added ~ VoterChangePlanner.java "
                        + "~ if (voters.size() < targetVoterCount) { ~ if (voters.isEmpty()) {",
                "one is added while one is removed ~ VoterChangePlanner.java "
                        + "~ : voters.stream().filter(voter -> !voter.equals(removed)).toList(); "
                        + "~ : Stream.concat(voters.stream().filter(voter -> !voter.equals(removed)), "
                        + "standby.stream())"
                        + ".sorted().toList();",
            })
    void findsPlantedFaultOfVoterReplacement(String fault, String file, String text, String instead) throws Exception {
        Method losses = planted(file, text, instead)
                .loadClass("org.cypressweir.testkit.MachineLosses")
                .getMethod("findViolation", int.class);
        assertThat(losses.invoke(null, LOSSES)).as(fault).isNotNull();
    }

    /** Faults by which a commit is on fewer disks than may be lost, and one more. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "unresponsive voters are removed without a successor ~ VoterChangePlanner.java "
                        + "~ if (voters.size() < targetVoterCount) { ~ if (voters.size() < 3) {",
                "the next voter is removed before another is added ~ VoterChangePlanner.java "
                        + "~ if (voters.size() < targetVoterCount) { ~ if (voters.size() < targetVoterCount - 1) {",
                "two accepters are enough ~ AcceptPhase.java "
                        + "~ if (ReplicatedState.isMajority(base.voters(), accepters) "
                        + "&& ReplicatedState.isMajority(next.voters(), accepters)) { "
                        + "~ if (accepters.size() > 1) {",
            })
    void findsPlantedFaultOfDurability(String fault, String file, String text, String instead) throws Exception {
        Method losses = planted(file, text, instead)
                .loadClass("org.cypressweir.testkit.OverlappingLosses")
                .getMethod("findViolation", int.class);
        assertThat(losses.invoke(null, OVERLAPS)).as(fault).isNotNull();
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "answers go out before the write is synced ~ Acceptor.java "
                        + "~ context.add(new Effect.Write(++writeNumber, due)); "
                        + "~ context.add(new Effect.Write(++writeNumber, due)); "
                        + "apply(due); task.after.run(); writing = new Task(() -> null, () -> { }, () -> { });",
                "a blank disk is the replica that its address was ~ ConsensusReplica.java "
                        + "~ : initialStart ? 0 : 1 + random.nextLong(MAX_DISK_ID); ~ : 0;",
                "a message for another disk is answered ~ AcceptorRequestHandler.java "
                        + "~ return context.own.equals(recipient == null ? context.address : recipient); "
                        + "~ return true;",
                "any state will do as a base ~ PrepareQuorum.java ~ accepted.above(highest.accepted) ~ false",
                "one promise is enough ~ ProposalRound.java "
                        + "~ if (!ReplicatedState.isMajority(voters, promises.from())) { ~ if (false) {",
                "what one holds is chosen ~ ProposalRound.java "
                        + "~ boolean chosen = ReplicatedState.isMajority(base.voters(), "
                        + "promises.voted(base.number())); "
                        + "~ boolean chosen = true;",
                "a difference goes on any base ~ Acceptor.java "
                        + "~ if (!fullSnapshot && !state.number().equals(request.base())) { "
                        + "~ if (false) {",
                "one accepter is enough ~ AcceptPhase.java "
                        + "~ if (ReplicatedState.isMajority(base.voters(), accepters) "
                        + "&& ReplicatedState.isMajority(next.voters(), accepters)) { "
                        + "~ if (true) {",
                "what was learned counts as a vote ~ PrepareQuorum.java "
                        + "~ voted.removeIf(replica -> promises.get(replica).learnedSecondHand); ~ ;",
                "a removed voter goes on by itself ~ PrepareQuorum.java ~ return highest.voters; "
                        + "~ return promises.values().iterator().next().voters;",
                "what was learned is reported as a vote ~ PeerTable.java "
                        + "~ accepters.removeIf(peer -> heartbeats.get(peer).learnedSecondHand()); ~ ;",
                "a promise is not kept ~ Acceptor.java ~ promised = written.promised(); ~ ;",
                "what one other holds is published ~ CommittedState.java "
                        + "~ if (ReplicatedState.isMajority(heartbeat.voters(), accepters)) { ~ if (true) {",
                "what is not committed is published ~ CommittedState.java ~ if (acceptor.accepted().equals(number)) { "
                        + "~ if (true) {",
                "an echo counts as of when it comes ~ QuorumContact.java "
                        + "~ long at = sentAt[(int) (echo % REMEMBERED_HEARTBEATS)]; ~ long at = context.now;",
                "what a peer has accepted is not looked at ~ QuorumContact.java "
                        + "~ proof.accepted.above(committed.number()) ? NEVER : proof.at ~ proof.at",
                "contact with one is enough ~ QuorumContact.java ~ times[times.length - voters.size() / 2 - 1] "
                        + "~ times[times.length - 1]",
                "a replica that has accepted more counts itself ~ QuorumContact.java "
                        + "~ boolean ownCounts = !accepted.above(committed.number()); ~ boolean ownCounts = true;",
                "contact that is lost is never regained ~ QuorumContact.java "
                        + "~ Math.max(startedAt, contactAt(voters)) ~ startedAt",
            })
    void findsPlantedFault(String fault, String file, String text, String instead) throws Exception {
        ClassLoader planted = planted(file, text, instead);
        Method corners = planted.loadClass("org.cypressweir.testkit.ConsensusCornerCases")
                .getMethod("findViolation");
        Method days =
                planted.loadClass("org.cypressweir.testkit.ConsensusFaults").getMethod("findViolation", int.class);
        Object breach = corners.invoke(null);
        assertThat(breach != null ? breach : days.invoke(null, DAYS)).as(fault).isNotNull();
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "differences are not known ~ ChangeHistory.java ~ steps.put(to, new Step( ~ new Step(from, List.of()); "
                        + "Map.of(to, new Step(",
                "a difference lacks what changed first ~ ChangeHistory.java ~ changed.addAll(step.keys); "
                        + "~ changed.addAll(step.keys); changed.remove(step.keys.get(0));",
                "what was learned is no base ~ AcceptorRequestHandler.java ~ boolean onLearned = !fullSnapshot && "
                        + "~ boolean onLearned = false &&",
                "a difference is not compared ~ AcceptorRequestHandler.java "
                        + "~ if (!fullSnapshot && base.equals(before.number()) "
                        + "~ if (false",
            })
    void findsPlantedFaultOfCatchUp(String fault, String file, String text, String instead) throws Exception {
        ClassLoader planted = new PlantedFault(
                folder,
                Path.of("src/main/java/org/cypressweir/controlplane/consensus"),
                file,
                text,
                instead,
                name -> name.startsWith("org.cypressweir.testkit.Consensus")
                        || name.startsWith("org.cypressweir.testkit.SimulatedReplicas")
                        || name.startsWith("org.cypressweir.testkit.JsonCopy")
                        || name.startsWith("org.cypressweir.controlplane.consensus."));
        Method findViolation = planted.loadClass("org.cypressweir.controlplane.consensus.CatchUpTest")
                .getDeclaredMethod("findViolation");
        findViolation.setAccessible(true);
        assertThat(findViolation.invoke(null)).as(fault).isNotNull();
    }
}
