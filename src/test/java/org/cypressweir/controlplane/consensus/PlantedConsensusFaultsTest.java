package org.cypressweir.controlplane.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Method;
import java.nio.file.Path;
import org.cypressweir.testkit.PlantedFault;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The random fault scenarios detect faults that are planted in the source of the consensus package. */
class PlantedConsensusFaultsTest {

    private static final int RANDOM_FAULT_SCENARIOS = 200;
    private static final int MACHINE_LOSS_SCENARIOS = 40;
    private static final int OVERLAPPING_LOSS_SCENARIOS = 40;

    @TempDir
    Path folder;

    private ClassLoader classesWithFault(String file, String original, String replacement) throws Exception {
        return new PlantedFault(
                folder,
                Path.of("src/main/java/org/cypressweir/controlplane/consensus"),
                file,
                original,
                replacement,
                name -> name.startsWith("org.cypressweir.testkit.Consensus")
                        || name.startsWith("org.cypressweir.testkit.SimulatedReplicas")
                        || name.startsWith("org.cypressweir.testkit.MachineLosses")
                        || name.startsWith("org.cypressweir.testkit.OverlappingLosses")
                        || name.startsWith("org.cypressweir.testkit.JsonCopy"));
    }

    /** Faults that lose no committed change, but leave no majority of the voters running. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "no voter is removed while two are unresponsive ~ VoterMonitor.java "
                        + "~ return unresponsive.isEmpty() ? firstLeaving(voters) : unresponsive.get(0); "
                        + "~ return unresponsive.isEmpty() ? firstLeaving(voters) "
                        + ": unresponsive.size() > 1 ? null : unresponsive.get(0);",
                "an unresponsive voter is not removed ~ VoterMonitor.java "
                        + "~ peers.silenceMicros(voter) >= limitMicros).toList(); "
                        + "~ false).toList();",
                "a voter with a replaced disk is not removed at once ~ VoterMonitor.java "
                        + "~ if (peers.replaced(voter)) { "
                        + "~ if (false) {",
                "a standby is not added ~ VoterChangePlanner.java "
                        + "~ if (voters.size() < targetVoterCount) { ~ if (voters.isEmpty()) {",
                "a voter is added and another removed in one change ~ VoterChangePlanner.java "
                        + "~ : voters.stream().filter(voter -> !voter.equals(removed)).toList(); "
                        + "~ : Stream.concat(voters.stream().filter(voter -> !voter.equals(removed)), "
                        + "standby.stream())"
                        + ".sorted().toList();",
            })
    void findsPlantedFaultOfVoterReplacement(String fault, String file, String original, String replacement)
            throws Exception {
        Method findViolation = classesWithFault(file, original, replacement)
                .loadClass("org.cypressweir.testkit.MachineLosses")
                .getMethod("findViolation", int.class);
        assertThat(findViolation.invoke(null, MACHINE_LOSS_SCENARIOS)).as(fault).isNotNull();
    }

    /** Faults by which a commit is on too few disks: on no more than may be lost. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "unresponsive voters are removed without a successor ~ VoterChangePlanner.java "
                        + "~ if (voters.size() < targetVoterCount) { ~ if (voters.size() < 3) {",
                "the next voter is removed before another is added ~ VoterChangePlanner.java "
                        + "~ if (voters.size() < targetVoterCount) { ~ if (voters.size() < targetVoterCount - 1) {",
                "two acceptors are enough for a commit ~ AcceptPhase.java "
                        + "~ if (ReplicatedState.isMajority(base.voters(), acceptedBy) "
                        + "&& ReplicatedState.isMajority(next.voters(), acceptedBy)) { "
                        + "~ if (acceptedBy.size() > 1) {",
            })
    void findsPlantedFaultOfDurability(String fault, String file, String original, String replacement)
            throws Exception {
        Method findViolation = classesWithFault(file, original, replacement)
                .loadClass("org.cypressweir.testkit.OverlappingLosses")
                .getMethod("findViolation", int.class);
        assertThat(findViolation.invoke(null, OVERLAPPING_LOSS_SCENARIOS))
                .as(fault)
                .isNotNull();
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "requests are answered before the write is durable ~ Acceptor.java "
                        + "~ context.addEffect(new Effect.Write(++writeNumber, due)); "
                        + "~ context.addEffect(new Effect.Write(++writeNumber, due)); "
                        + "apply(due); task.onDurable.run(); writing = new Task(() -> null, () -> { }, () -> { });",
                "a replica with an empty disk keeps the key of the one before ~ ConsensusReplica.java "
                        + "~ : initialStart ? 0 : 1 + random.nextLong(MAX_DISK_ID); ~ : 0;",
                "a message for another disk is answered ~ AcceptorRequestHandler.java "
                        + "~ return context.ownKey.equals(recipient == null ? context.address : recipient); "
                        + "~ return true;",
                "the base is not the highest accepted state ~ PrepareQuorum.java "
                        + "~ accepted.above(highest.accepted) ~ false",
                "one promise is enough ~ ProposalRound.java "
                        + "~ if (!ReplicatedState.isMajority(voters, promises.from())) { ~ if (false) {",
                "a state that one replica has accepted counts as chosen ~ ProposalRound.java "
                        + "~ boolean chosen = ReplicatedState.isMajority(base.voters(), "
                        + "promises.voted(base.number())); "
                        + "~ boolean chosen = true;",
                "a difference is applied to any base ~ Acceptor.java "
                        + "~ if (!fullSnapshot && !state.number().equals(request.base())) { "
                        + "~ if (false) {",
                "one acceptor is enough for a commit ~ AcceptPhase.java "
                        + "~ if (ReplicatedState.isMajority(base.voters(), acceptedBy) "
                        + "&& ReplicatedState.isMajority(next.voters(), acceptedBy)) { "
                        + "~ if (true) {",
                "a state learned second-hand counts as a vote in a promise ~ PrepareQuorum.java "
                        + "~ voted.removeIf(replica -> promises.get(replica).learnedSecondHand); ~ ;",
                "a removed voter proposes to its old set of voters ~ PrepareQuorum.java ~ return highest.voters; "
                        + "~ return promises.values().iterator().next().voters;",
                "a state learned second-hand counts as a vote in a heartbeat ~ PeerTable.java "
                        + "~ acceptedBy.removeIf(peer -> heartbeats.get(peer).learnedSecondHand()); ~ ;",
                "a promise is not stored ~ Acceptor.java ~ promised = written.promised(); ~ ;",
                "a state that one other replica has accepted is published ~ CommittedState.java "
                        + "~ if (ReplicatedState.isMajority(heartbeat.voters(), acceptedBy)) { ~ if (true) {",
                "an accepted state is published before it is committed ~ CommittedState.java "
                        + "~ if (acceptor.accepted().equals(number)) { "
                        + "~ if (true) {",
                "an echo proves contact at the time of its arrival ~ QuorumContact.java "
                        + "~ long at = sentAt[(int) (echo % REMEMBERED_HEARTBEATS)]; ~ long at = context.now;",
                "a higher state accepted by a peer is ignored ~ QuorumContact.java "
                        + "~ proof.accepted.above(committed.number()) ? NEVER : proof.at ~ proof.at",
                "contact with one voter is enough ~ QuorumContact.java ~ times[times.length - voters.size() / 2 - 1] "
                        + "~ times[times.length - 1]",
                "a replica that has accepted a higher state counts itself ~ QuorumContact.java "
                        + "~ boolean ownCounts = !accepted.above(committed.number()); ~ boolean ownCounts = true;",
                "lost contact is never regained ~ QuorumContact.java "
                        + "~ Math.max(startedAt, contactAt(voters)) ~ startedAt",
            })
    void findsPlantedFault(String fault, String file, String original, String replacement) throws Exception {
        ClassLoader classesWithFault = classesWithFault(file, original, replacement);
        Method findCornerCaseViolation = classesWithFault
                .loadClass("org.cypressweir.testkit.ConsensusCornerCases")
                .getMethod("findViolation");
        Method findRandomFaultViolation = classesWithFault
                .loadClass("org.cypressweir.testkit.ConsensusFaults")
                .getMethod("findViolation", int.class);
        Object violation = findCornerCaseViolation.invoke(null);
        assertThat(violation != null ? violation : findRandomFaultViolation.invoke(null, RANDOM_FAULT_SCENARIOS))
                .as(fault)
                .isNotNull();
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "differences are not recorded ~ ChangeHistory.java ~ steps.put(to, new Step( "
                        + "~ new Step(from, List.of()); "
                        + "Map.of(to, new Step(",
                "a difference lacks a changed item ~ ChangeHistory.java ~ changed.addAll(step.keys); "
                        + "~ changed.addAll(step.keys); changed.remove(step.keys.get(0));",
                "a learned state is not a base ~ AcceptorRequestHandler.java ~ boolean onLearned = !fullSnapshot && "
                        + "~ boolean onLearned = false &&",
                "the checksum of a difference is not checked ~ AcceptorRequestHandler.java "
                        + "~ if (!fullSnapshot && base.equals(before.number()) "
                        + "~ if (false",
            })
    void findsPlantedFaultOfCatchUp(String fault, String file, String original, String replacement) throws Exception {
        ClassLoader classesWithFault = new PlantedFault(
                folder,
                Path.of("src/main/java/org/cypressweir/controlplane/consensus"),
                file,
                original,
                replacement,
                name -> name.startsWith("org.cypressweir.testkit.Consensus")
                        || name.startsWith("org.cypressweir.testkit.SimulatedReplicas")
                        || name.startsWith("org.cypressweir.testkit.JsonCopy")
                        || name.startsWith("org.cypressweir.controlplane.consensus."));
        Method findViolation = classesWithFault
                .loadClass("org.cypressweir.controlplane.consensus.CatchUpTest")
                .getDeclaredMethod("findViolation");
        findViolation.setAccessible(true);
        assertThat(findViolation.invoke(null)).as(fault).isNotNull();
    }
}
