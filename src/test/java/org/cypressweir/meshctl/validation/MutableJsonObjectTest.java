package org.cypressweir.meshctl.validation;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class MutableJsonObjectTest {

    private static final String TEXT = "{\"a\":{\"b\":[1,{\"c\":\"x\"}]},\"d\":null}";

    private final MutableJsonObject object =
            MutableJsonObject.read(TEXT.getBytes(StandardCharsets.UTF_8)).get();

    private String text() {
        return new String(object.encoded(), StandardCharsets.UTF_8);
    }

    @Test
    void orderAndNullsAreKept() {
        assertThat(text()).isEqualTo(TEXT);
        assertThat(object.names()).containsExactly("a", "d");
        assertThat(object.has("d")).isTrue();
    }

    @Test
    void changesOfNestedObjectsAreChangesOfTheOuterOne() {
        object.object("a").objects("b").get(0).replace("c", "other", "never");
        object.object("a").objects("b").get(0).replace("c", "x", "y");
        object.object("a").removeElement("b", 0);
        object.object("d").set("new", 1).set("flag", false).setEmptyArray("e");
        assertThat(text()).isEqualTo("{\"a\":{\"b\":[{\"c\":\"y\"}]},\"d\":{\"new\":1,\"flag\":false,\"e\":[]}}");
    }

    @Test
    void copySharesNothing() {
        MutableJsonObject copy = object.copy();
        copy.object("a").objects("b").get(0).set("c", "changed");
        copy.object("a").removeElement("b", 0);
        assertThat(copy.removeIf(name -> name.equals("d"))).isTrue();
        assertThat(text()).isEqualTo(TEXT);
    }
}
