package org.cypressweir.meshctl.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.cypressweir.meshctl.state.JsonValue;
import org.junit.jupiter.api.Test;

class TablePrinterTest {

    private final TablePrinter table = new TablePrinter(
            List.of("name", "slots", "voters"),
            List.of(
                    new Row().put("name", "b").put("slots", 10L).put("voters", JsonValue.decoded(List.of("x", "y"))),
                    new Row().put("name", "a\u001b").put("slots", 9L)));

    @Test
    void columnsAreAlignedAndNumbersToTheRight() {
        assertThat(table.lines()).containsExactly("name  slots  voters", "b        10  x,y", "a?        9");
    }

    @Test
    void rowsAreFilteredSortedAndReducedToColumns() {
        assertThat(table.sort("slots").select(List.of("slots")).lines()).containsExactly("slots", "    9", "   10");
        assertThat(table.filter("voters", "x,y").rows()).hasSize(1);
    }
}
