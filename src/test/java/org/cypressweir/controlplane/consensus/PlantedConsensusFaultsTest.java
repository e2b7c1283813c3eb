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
                        || name.startsWith("org.cypressweir.testkit.JsonCopy"));
    }

    /** Faults that lose nothing, but leave no majority. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "nobody goes while two are silent ~ VoterMonitor.java "
                        + "~ if (!silent.isEmpty() && (standby || shrinks)) { "
                        + "~ if (silent.size() == 1 && (standby || shrinks)) {",
                "who is silent stays ~ VoterMonitor.java ~ peers.silence(m) >= desk.plan.silentAfter()).toList(); "
                        + "~ false).toList();",
                "a lost disk stays until it has been silent ~ VoterMonitor.java ~ if (peers.replaced(member)) { "
                        + "~ if (false) {",
                "whoever waits is not let in ~ VoterChangePlanner.java "
                        + "~ return standby.isPresent() && crew.size() < voters "
                        + "~ return false",
                "one comes in while one goes out ~ VoterChangePlanner.java "
                        + "~ return crew.stream().filter(m -> !m.equals(gone)).toList(); "
                        + "~ return Stream.concat(crew.stream().filter(m -> !m.equals(gone)), standby.stream())"
                        + ".sorted().toList();",
            })
    void eachFaultOfReplacementIsFound(String fault, String file, String text, String instead) throws Exception {
        Method losses = planted(file, text, instead)
                .loadClass("org.cypressweir.testkit.MachineLosses")
                .getMethod("broken", int.class);
        assertThat(losses.invoke(null, LOSSES)).as(fault).isNotNull();
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "answers go out before the write is synced ~ Acceptor.java "
                        + "~ desk.add(new Effect.Write(++number, due)); ~ desk.add(new Effect.Write(++number, due)); "
                        + "take(due); task.after.run(); writing = new Task(() -> null, () -> { }, () -> { });",
                "a blank disk is the member that its address was ~ ConsensusReplica.java "
                        + "~ : initialStart ? 0 : 1 + random.nextLong(MOST_NUMBER); ~ : 0;",
                "a word for another disk is answered ~ ConsensusReplica.java "
                        + "~ return desk.own.equals(message.getOrDefault(\"to\", desk.address)); ~ return true;",
                "any state will do as a base ~ PrepareQuorum.java ~ accepted.above(highest.accepted) ~ false",
                "one promise is enough ~ ProposalRound.java "
                        + "~ if (!ReplicatedState.most(crew, promises.from())) { ~ if (false) {",
                "what one holds is decided ~ ProposalRound.java "
                        + "~ boolean settled = ReplicatedState.most(base.crew(), promises.voted(base.stamp())); "
                        + "~ boolean settled = true;",
                "a difference goes on any base ~ Acceptor.java ~ if (!whole && !state.stamp().equals(base)) { "
                        + "~ if (false) {",
                "one yes is enough ~ ProposalRound.java "
                        + "~ if (ReplicatedState.most(base.crew(), acks) && ReplicatedState.most(next.crew(), acks)) { "
                        + "~ if (true) {",
                "what was learnt counts as a vote ~ PrepareQuorum.java "
                        + "~ voted.removeIf(who -> all.get(who).hearsay); ~ ;",
                "whoever was taken out goes on by itself ~ PrepareQuorum.java ~ return highest.crew; "
                        + "~ return all.values().iterator().next().crew;",
                "what was learnt is told as a vote ~ PeerTable.java "
                        + "~ voters.removeIf(who -> words.get(who).hearsay); ~ ;",
                "a promise is not kept ~ Acceptor.java ~ promised = taken.promised(); ~ ;",
                "what one other holds is shown ~ CommittedState.java "
                        + "~ if (ReplicatedState.most(word.crew(), voters)) { ~ if (true) {",
                "what is not decided is shown ~ CommittedState.java ~ if (copy.accepted().equals(stamp)) { "
                        + "~ if (true) {",
                "an echo counts as of when it comes ~ QuorumContact.java "
                        + "~ long at = sentAt[(int) (echo % KEPT)]; ~ long at = desk.now;",
                "what a peer has accepted is not looked at ~ QuorumContact.java "
                        + "~ proof.accepted.above(shown.stamp()) ? NEVER : proof.at ~ proof.at",
                "contact with one is enough ~ QuorumContact.java ~ times[times.length - crew.size() / 2 - 1] "
                        + "~ times[times.length - 1]",
                "a harbour that has accepted more counts itself ~ QuorumContact.java "
                        + "~ boolean own = !accepted.above(shown.stamp()); ~ boolean own = true;",
                "contact that is lost is never regained ~ QuorumContact.java "
                        + "~ Math.max(begun, reachedAt(crew)) ~ begun",
            })
    void eachFaultIsFound(String fault, String file, String text, String instead) throws Exception {
        ClassLoader planted = planted(file, text, instead);
        Method corners = planted.loadClass("org.cypressweir.testkit.ConsensusCornerCases")
                .getMethod("broken");
        Method days =
                planted.loadClass("org.cypressweir.testkit.ConsensusFaults").getMethod("broken", int.class);
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
                "what was learnt is no base ~ ConsensusReplica.java ~ boolean learnt = !whole && "
                        + "~ boolean learnt = false &&",
                "a difference is not compared ~ ConsensusReplica.java ~ if (!whole && base.equals(before.stamp()) "
                        + "~ if (false",
            })
    void whoLagsLongerIsFound(String fault, String file, String text, String instead) throws Exception {
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
        Method broken = planted.loadClass("org.cypressweir.controlplane.consensus.CatchUpTest")
                .getDeclaredMethod("broken");
        broken.setAccessible(true);
        assertThat(broken.invoke(null)).as(fault).isNotNull();
    }
}
