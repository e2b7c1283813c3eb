package larkbank.rooms;

import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.ArchConfiguration;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * The rooms of the mesh, and which of them a room may name: programs name planes, planes shared cores, and
 * these larkbank. A room may name only rooms above it in the list, so there is no circle.
 */
class RoomsTest {

    private static final String[] ROOMS = {
        "larkbank:",
        "daily: larkbank",
        "papers: larkbank daily",
        "lading: larkbank",
        "gangway:",
        "tally:",
        "quay:",
        "manifest: papers",
        "copies: manifest",
        "hold: manifest copies",
        "chart: larkbank lading manifest copies",
        "berth: larkbank lading",
        "logbook: lading gangway manifest",
        "pilot: larkbank papers lading gangway tally quay manifest copies chart berth logbook",
        "harbour: larkbank papers lading gangway tally manifest copies hold chart berth logbook",
        "bridge: larkbank papers lading manifest pilot harbour",
    };
    /** Starts every program that there is. */
    private static final Set<String> ABOVE_ALL = Set.of("larkbank.Main");

    private static Map<String, Set<String>> rooms() {
        Map<String, Set<String>> rooms = new LinkedHashMap<>();
        for (String room : ROOMS) {
            String[] parts = room.split(":");
            Set<String> named = new TreeSet<>(
                    parts.length < 2
                            ? List.of()
                            : Arrays.asList(parts[1].strip().split(" ")));
            assertThat(rooms.keySet()).as("above " + parts[0]).containsAll(named);
            rooms.put(parts[0], named);
        }
        return rooms;
    }

    /** Arrows that are not in the list, as {@code FROM -> TO: CLASS names CLASS}. */
    private static List<String> wrong(JavaClasses classes, String root) {
        Map<String, Set<String>> rooms = rooms();
        Set<String> wrong = new TreeSet<>();
        classes.forEach(one -> one.getDirectDependenciesFromSelf().forEach(arrow -> {
            String from = room(arrow.getOriginClass().getPackageName(), root);
            String to = room(arrow.getTargetClass().getBaseComponentType().getPackageName(), root);
            boolean meshes = rooms.containsKey(from) || rooms.containsKey(to);
            boolean isShared = to != null && (to.equals("larkbank") || to.equals("daily"));
            if (from != null
                    && to != null
                    && !from.equals(to)
                    && meshes
                    && !ABOVE_ALL.contains(arrow.getOriginClass().getName())
                    && !(rooms.containsKey(from) ? rooms.get(from).contains(to) : isShared)) {
                wrong.add(from + " -> " + to + ": " + arrow.getOriginClass().getSimpleName() + " names "
                        + arrow.getTargetClass().getBaseComponentType().getSimpleName());
            }
        }));
        return new ArrayList<>(wrong);
    }

    /** The room of a package; null where it is none of the project's. */
    private static String room(String name, String root) {
        if (name.equals(root)) {
            return "larkbank";
        }
        return name.startsWith(root + ".") ? name.substring(root.length() + 1).split("\\.")[0] : null;
    }

    @BeforeAll
    static void readOnlyOwnClasses() {
        ArchConfiguration.get().setResolveMissingDependenciesFromClassPath(false);
    }

    @Test
    void everyArrowIsInTheList() {
        JavaClasses classes = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("larkbank");
        assertThat(classes.size()).isGreaterThan(300);
        assertThat(wrong(classes, "larkbank")).isEmpty();
    }

    @Test
    void arrowsThatAreTurnedRoundAreFound() {
        String planted = RoomsTest.class.getPackageName() + ".planted";
        assertThat(wrong(new ClassFileImporter().importPackages(planted), planted))
                .containsExactly(
                        "cargo -> lading: Crate names Parcel",
                        "lading -> pilot: Parcel names Deck",
                        "pilot -> harbour: Deck names Pier");
    }
}
