package org.cypressweir.architecture;

import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.ArchConfiguration;
import com.tngtech.archunit.core.domain.Dependency;
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
 * The packages of the mesh and the dependencies allowed between them: programs depend on planes, planes on
 * shared packages. A package may depend only on packages above it in the list, so there is no cycle.
 */
class ArchitectureTest {

    private static final String ROOT = "org.cypressweir";
    private static final String[] PACKAGES = {
        "common.util:",
        "loadbalancing: common.util",
        "common.settings: common.util",
        "common.transport: common.util",
        "dataplane.http.server:",
        "dataplane.http.upstream:",
        "controlplane.configuration: common.settings",
        "dataplane.quota: controlplane.configuration",
        "controlplane.consensus: controlplane.configuration",
        "controlplane.storage: controlplane.configuration controlplane.consensus",
        "controlplane.distribution: common.util common.transport controlplane.configuration"
                + " controlplane.consensus",
        "controlplane.registry: common.util common.transport",
        "common.diagnostics: common.transport dataplane.http.server controlplane.configuration",
        "common.metrics: dataplane.http.server",
        "dataplane.proxy: loadbalancing common.util common.settings common.transport common.diagnostics"
                + " common.metrics"
                + " dataplane.http.server dataplane.quota dataplane.http.upstream controlplane.configuration"
                + " controlplane.consensus controlplane.distribution controlplane.registry",
        "controlplane.controller: common.util common.settings common.transport common.diagnostics"
                + " common.metrics"
                + " dataplane.http.server dataplane.quota controlplane.configuration controlplane.consensus"
                + " controlplane.storage controlplane.distribution controlplane.registry",
        "meshctl.validation: common.util common.settings common.transport controlplane.configuration",
        "meshctl.state: common.transport",
        "meshctl.command: common.util common.settings common.transport meshctl.validation meshctl.state",
        "meshctl: common.util meshctl.command",
    };
    /** The packages that those not in the list (the sidecar, the fleet, the simulation) may depend on. */
    private static final Set<String> SHARED_WITH_SIDECAR = Set.of("common.util", "loadbalancing");
    /** The entry point, which starts every program of the mesh. */
    private static final Set<String> UNRESTRICTED = Set.of("org.cypressweir.Main");

    private static Map<String, Set<String>> allowedByPackage() {
        Map<String, Set<String>> allowed = new LinkedHashMap<>();
        for (String line : PACKAGES) {
            String[] parts = line.split(":");
            Set<String> named = new TreeSet<>(
                    parts.length < 2
                            ? List.of()
                            : Arrays.asList(parts[1].strip().split(" ")));
            assertThat(allowed.keySet()).as("above " + parts[0]).containsAll(named);
            allowed.put(parts[0], named);
        }
        return allowed;
    }

    /** Dependencies that are not in the list, as {@code FROM -> TO: CLASS names CLASS}. */
    private static List<String> violations(JavaClasses classes, String root) {
        Map<String, Set<String>> allowed = allowedByPackage();
        Set<String> violations = new TreeSet<>();
        classes.forEach(one -> one.getDirectDependenciesFromSelf().forEach(dependency -> {
            String from = part(dependency.getOriginClass().getPackageName(), root);
            String to = part(dependency.getTargetClass().getBaseComponentType().getPackageName(), root);
            if (from == null
                    || to == null
                    || from.equals(to)
                    || UNRESTRICTED.contains(dependency.getOriginClass().getName())) {
                return;
            }
            boolean concernsMesh = allowed.containsKey(from) || allowed.containsKey(to);
            boolean isAllowed = allowed.getOrDefault(from, SHARED_WITH_SIDECAR).contains(to);
            if (concernsMesh && !isAllowed || concernsSidecar(from, to)) {
                violations.add(describe(from, to, dependency));
            }
        }));
        return new ArrayList<>(violations);
    }

    /** Whether a package other than the sidecar itself and the simulation of fleets depends on the sidecar. */
    private static boolean concernsSidecar(String from, String to) {
        return isSidecar(to) && !isSidecar(from) && !from.equals("simulation");
    }

    private static boolean isSidecar(String part) {
        return part.equals("sidecar") || part.startsWith("sidecar.");
    }

    private static String describe(String from, String to, Dependency dependency) {
        return from + " -> " + to + ": " + dependency.getOriginClass().getSimpleName() + " names "
                + dependency.getTargetClass().getBaseComponentType().getSimpleName();
    }

    /** The name of a package below the root; null where it is not below the root. */
    private static String part(String name, String root) {
        if (name.equals(root)) {
            return "";
        }
        return name.startsWith(root + ".") ? name.substring(root.length() + 1) : null;
    }

    @BeforeAll
    static void readOnlyOwnClasses() {
        ArchConfiguration.get().setResolveMissingDependenciesFromClassPath(false);
    }

    @Test
    void everyDependencyIsInTheList() {
        JavaClasses classes = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages(ROOT);
        assertThat(classes.size()).isGreaterThan(300);
        assertThat(violations(classes, ROOT)).isEmpty();
    }

    @Test
    void everyPackageOfTheListExists() {
        JavaClasses classes = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages(ROOT);
        allowedByPackage().keySet().forEach(name -> assertThat(classes.containPackage(ROOT + "." + name))
                .as(name)
                .isTrue());
    }

    @Test
    void reversedDependenciesAreFound() {
        String planted = ArchitectureTest.class.getPackageName() + ".planted";
        assertThat(violations(new ClassFileImporter().importPackages(planted), planted))
                .containsExactly(
                        "common.transport -> dataplane.proxy: Message names Forwarder",
                        "dataplane.proxy -> controlplane.controller: Forwarder names Publisher",
                        "intruder -> common.transport: Stranger names Message");
    }
}
