package org.cypressweir.meshctl;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.cypressweir.common.settings.NodeSettings;
import org.cypressweir.common.util.Addresses;

/** All that is wrong with a settings file: what the programs' own reader finds, and what they need beside. */
final class SettingsCheck {

    /** For which program more is wanted. */
    enum Program {
        pilot,
        harbour
    }

    private SettingsCheck() {}

    /** @param program null for neither */
    static List<ValidationError> flaws(byte[] file, Program program) {
        Either<List<String>, NodeSettings> read = NodeSettings.read(file);
        if (read.isLeft()) {
            return read.getLeft().stream().map(ValidationError::of).toList();
        }
        NodeSettings papers = read.get();
        List<ValidationError> flaws = new ArrayList<>();
        papers.listen().forEach((name, text) -> address("network.listenAddresses." + name, text, flaws));
        for (int i = 0; i < papers.seeds().size(); i++) {
            address("network.seedNodes[" + i + "]", papers.seeds().get(i), flaws);
        }
        address("localNode.ipAddress", papers.ip() + ":1", flaws);
        if (papers.application() != null) {
            address("localNode.application", papers.application(), flaws);
        }
        if (!papers.zones().isEmpty() && !papers.zones().containsKey(papers.zone())) {
            flaws.add(new ValidationError("localNode.zone", papers.zone() + " is none of network.zones"));
        }
        if (program == Program.harbour) {
            wanted(papers.dataDirectory() != null, "localNode.dataDirectory", program, flaws);
        } else if (program == Program.pilot) {
            wanted(papers.application() != null, "localNode.application", program, flaws);
            for (String name : List.of("outbound", "readiness")) {
                wanted(papers.listen().containsKey(name), "network.listenAddresses." + name, program, flaws);
            }
        }
        if (program != null) {
            wanted(papers.listen().containsKey("controlPlane"), "network.listenAddresses.controlPlane", program, flaws);
            wanted(!papers.seeds().isEmpty(), "network.seedNodes", program, flaws);
        }
        return flaws;
    }

    private static void wanted(boolean there, String place, Program program, List<ValidationError> flaws) {
        if (!there) {
            flaws.add(new ValidationError(place, "is missing, and a " + program + " wants it"));
        }
    }

    private static void address(String place, String text, List<ValidationError> flaws) {
        try {
            Addresses.parse(text);
        } catch (IllegalArgumentException e) {
            flaws.add(new ValidationError(place, e.getMessage()));
        }
    }
}
