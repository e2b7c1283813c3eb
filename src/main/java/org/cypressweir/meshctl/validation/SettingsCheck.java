package org.cypressweir.meshctl.validation;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.cypressweir.common.settings.NodeSettings;
import org.cypressweir.common.util.Addresses;

/** Finds every error of a settings file: those that the programs' own parser finds, and missing required settings. */
public final class SettingsCheck {

    /** A program that reads a settings file. */
    public enum Program {
        PROXY("proxy", "pilot"),
        CONTROLLER("controller", "harbour");

        private final String programName;
        /** The name in earlier builds, which is still accepted. */
        private final String formerName;

        Program(String programName, String formerName) {
            this.programName = programName;
            this.formerName = formerName;
        }

        public String programName() {
            return programName;
        }

        /** The program with this name or former name. */
        public static Optional<Program> named(String name) {
            return Arrays.stream(values())
                    .filter(program -> program.programName.equals(name) || program.formerName.equals(name))
                    .findFirst();
        }
    }

    private final NodeSettings settings;
    private final List<ValidationError> errors = new ArrayList<>();

    private SettingsCheck(NodeSettings settings) {
        this.settings = settings;
    }

    /** @param program the program that will read the file; null to check only what all programs require */
    public static List<ValidationError> errors(byte[] file, Program program) {
        Either<List<String>, NodeSettings> read = NodeSettings.read(file);
        if (read.isLeft()) {
            return read.getLeft().stream().map(ValidationError::parse).toList();
        }
        SettingsCheck check = new SettingsCheck(read.get());
        check.checkAddresses();
        check.checkZone();
        if (program != null) {
            check.checkRequirements(program);
        }
        return check.errors;
    }

    private void checkAddresses() {
        settings.listen().forEach((name, address) -> checkAddress("network.listenAddresses." + name, address));
        for (int i = 0; i < settings.seeds().size(); i++) {
            checkAddress("network.seedNodes[" + i + "]", settings.seeds().get(i));
        }
        checkAddress("localNode.ipAddress", settings.ip() + ":1");
        if (settings.application() != null) {
            checkAddress("localNode.application", settings.application());
        }
    }

    private void checkAddress(String location, String address) {
        try {
            Addresses.parse(address);
        } catch (IllegalArgumentException e) {
            errors.add(new ValidationError(location, e.getMessage()));
        }
    }

    private void checkZone() {
        boolean known = settings.zones().containsKey(settings.zone());
        if (!settings.zones().isEmpty() && !known) {
            errors.add(new ValidationError("localNode.zone", settings.zone() + " is not in network.zones"));
        }
    }

    private void checkRequirements(Program program) {
        switch (program) {
            case CONTROLLER -> require(settings.dataDirectory() != null, "localNode.dataDirectory", program);
            case PROXY -> {
                require(settings.application() != null, "localNode.application", program);
                requireListenAddress("outbound", program);
                requireListenAddress("readiness", program);
            }
        }
        requireListenAddress("controlPlane", program);
        require(!settings.seeds().isEmpty(), "network.seedNodes", program);
    }

    private void requireListenAddress(String name, Program program) {
        require(settings.listen().containsKey(name), "network.listenAddresses." + name, program);
    }

    private void require(boolean present, String location, Program program) {
        if (!present) {
            errors.add(new ValidationError(location, "is missing; a " + program.programName() + " requires it"));
        }
    }
}
