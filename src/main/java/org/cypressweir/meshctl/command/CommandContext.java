package org.cypressweir.meshctl.command;

import java.util.List;

/** What a command takes from where it is run: the command line or the shell. */
public interface CommandContext {

    /** Addresses to query when a command names none; may be empty. */
    List<String> defaultAddresses();

    AnsiStyle style();
}
