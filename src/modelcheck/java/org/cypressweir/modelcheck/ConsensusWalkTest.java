package org.cypressweir.modelcheck;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Method;
import java.nio.file.Path;
import org.cypressweir.testkit.PlantedFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A bounded walk that is short enough for each build, and planted faults of the protocol that it must find. */
class ConsensusWalkTest {

    private static final int MAX_DEVIATIONS = 2;
    /** In each of the seven scenarios. The main method of {@link ConsensusWalk} can run all executions. */
    private static final long MAX_EXECUTIONS = 1_200;

    @TempDir
    Path folder;

    @Test
    void replicasAgreeAndRecoverInEveryExecution() {
        ConsensusWalk.Result oneDeviation = ConsensusWalk.walk(1, MAX_EXECUTIONS);
        assertThat(oneDeviation.violation()).isNull();
        assertThat(oneDeviation.complete()).isTrue();
        ConsensusWalk.Result twoDeviations = ConsensusWalk.walk(MAX_DEVIATIONS, MAX_EXECUTIONS);
        assertThat(twoDeviations.violation()).isNull();
        assertThat(twoDeviations.accepted()).isGreaterThan(twoDeviations.executions() / 2);
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "one promise is enough ~ ProposalRound.java "
                        + "~ if (!ReplicatedState.isMajority(voters, promises.from())) { ~ if (false) {",
                "the base is not the highest accepted state ~ PrepareQuorum.java "
                        + "~ accepted.above(highest.accepted) ~ false",
                "a replica with an empty disk keeps the key of the one before ~ ConsensusReplica.java "
                        + "~ : initialStart ? 0 : 1 + random.nextLong(MAX_DISK_ID); ~ : 0;",
                "voters change after a vote of one voter ~ ProposalRound.java "
                        + "~ boolean chosen "
                        + "= ReplicatedState.isMajority(base.voters(), promises.voted(base.number())); "
                        + "~ boolean chosen = true;",
                "replica keys do not contain the number of the disk ~ ReplicaKey.java "
                        + "~ return disk == 0 ? address : address + \"/\" + disk; ~ return address;",
            })
    void findsPlantedFault(String fault, String file, String original, String replacement) throws Exception {
        ClassLoader classesWithFault = new PlantedFault(
                folder,
                Path.of("src/main/java/org/cypressweir/controlplane/consensus"),
                file,
                original,
                replacement,
                name -> name.startsWith("org.cypressweir.modelcheck.Consensus")
                        || name.startsWith("org.cypressweir.testkit.Consensus")
                        || name.startsWith("org.cypressweir.testkit.SimulatedReplicas"));
        Method findViolation = classesWithFault
                .loadClass("org.cypressweir.modelcheck.ConsensusWalk")
                .getMethod("findViolation", int.class, long.class);
        assertThat(findViolation.invoke(null, MAX_DEVIATIONS, MAX_EXECUTIONS))
                .as(fault)
                .isNotNull();
    }
}
