package org.cypressweir.modelcheck;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Method;
import java.nio.file.Path;
import org.cypressweir.testkit.PlantedFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A walk that fits into a run of the tests, and faults that it finds. */
class ConsensusWalkTest {

    private static final int STRAYS = 2;
    /** In each of seven scenes; the main method walks all. */
    private static final long SOME = 1_200;

    @TempDir
    Path folder;

    @Test
    void noOrderOfEventsPartsCopies() {
        ConsensusWalk.Result once = ConsensusWalk.walk(1, SOME);
        assertThat(once.breach()).isNull();
        assertThat(once.whole()).isTrue();
        ConsensusWalk.Result r = ConsensusWalk.walk(STRAYS, SOME);
        assertThat(r.breach()).isNull();
        assertThat(r.taken()).isGreaterThan(r.ways() / 2);
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "one promise is enough ~ ProposalRound.java "
                        + "~ if (!ReplicatedState.isMajority(voters, promises.from())) { ~ if (false) {",
                "any state will do as a base ~ PrepareQuorum.java ~ accepted.above(highest.accepted) ~ false",
                "a blank disk is the replica that its address was ~ ConsensusReplica.java "
                        + "~ : initialStart ? 0 : 1 + random.nextLong(MAX_DISK_ID); ~ : 0;",
                "voters change on what one has voted for ~ ProposalRound.java "
                        + "~ boolean chosen "
                        + "= ReplicatedState.isMajority(base.voters(), promises.voted(base.number())); "
                        + "~ boolean chosen = true;",
                "a message of another disk is one of this replica ~ ReplicaKey.java "
                        + "~ return disk == 0 ? address : address + \"/\" + disk; ~ return address;",
            })
    void eachFaultIsFound(String fault, String file, String text, String instead) throws Exception {
        ClassLoader planted = new PlantedFault(
                folder,
                Path.of("src/main/java/org/cypressweir/controlplane/consensus"),
                file,
                text,
                instead,
                name -> name.startsWith("org.cypressweir.modelcheck.Consensus")
                        || name.startsWith("org.cypressweir.testkit.Consensus")
                        || name.startsWith("org.cypressweir.testkit.SimulatedReplicas"));
        Method broken = planted.loadClass("org.cypressweir.modelcheck.ConsensusWalk")
                .getMethod("broken", int.class, long.class);
        assertThat(broken.invoke(null, STRAYS, SOME)).as(fault).isNotNull();
    }
}
