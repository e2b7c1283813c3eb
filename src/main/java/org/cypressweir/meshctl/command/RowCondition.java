package org.cypressweir.meshctl.command;

/** A condition on the rows of a table: the column must have this text. */
record RowCondition(String column, String value) {

    /** Parses {@code COLUMN=VALUE}; null if the text names no column. */
    static RowCondition parse(String text) {
        int separator = text.indexOf('=');
        return separator < 1 ? null : new RowCondition(text.substring(0, separator), text.substring(separator + 1));
    }
}
