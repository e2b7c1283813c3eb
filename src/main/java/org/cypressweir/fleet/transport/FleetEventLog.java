package org.cypressweir.fleet.transport;

import org.cypressweir.fleet.membership.MembershipOptions;

/** Records the events of one process in its event file, if the settings name one. */
final class FleetEventLog {

    private final boolean isRecorded;

    FleetEventLog(MembershipOptions options, String processName) {
        isRecorded = options.eventFile() != null;
        if (isRecorded) {
            EventRecorder.open(options.eventFile(), processName);
        }
    }

    void record(String event, String subject, String text) {
        if (isRecorded) {
            EventRecorder.record(event, subject, text);
        }
    }
}
