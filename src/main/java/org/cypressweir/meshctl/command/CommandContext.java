package org.cypressweir.meshctl.command;

import java.util.List;

/** What the command line or the shell provides to the commands that it runs. */
public interface CommandContext {

    /** Addresses to query when a command names none; may be empty. */
    List<String> defaultAddresses();

    AnsiStyle style();
}
