package org.cypressweir.controlplane.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Each rejection names the part of the change that it is about, also where names contain dots or spaces. */
class RejectionCauseTest {

    private static final String SERVICE = "'healthPath':'/','maxConnections':1,'configVersion':'r1'";
    private static final String ROUTE = "'hostname':'h','pathPrefix':'/','routeType':'idempotent','timeout':'1s',"
            + "'targetLatency':'50ms','priority':1,'maxAttempts':1,'configVersion':'r1'";

    static Stream<Arguments> changes() {
        ItemKey service = new ItemKey(ItemType.SERVICES, "a.b c");
        ItemKey route = new ItemKey(ItemType.ROUTES, "x");
        return Stream.of(
                Arguments.of("{]", RejectionCause.WHOLE_CHANGE),
                Arguments.of("{'upsert':7}", RejectionCause.WHOLE_CHANGE),
                Arguments.of("{'more to do':{}}", new RejectionCause.UnknownSection("more to do")),
                Arguments.of("{'upsert':{'my table':{}}}", new RejectionCause.UpsertedTable("my table")),
                Arguments.of("{'upsert':{'serviceTable':[]}}", new RejectionCause.UpsertedTable("serviceTable")),
                Arguments.of("{'upsert':{'serviceTable':{'a.b c':7}}}", new RejectionCause.InvalidItem(service)),
                Arguments.of(
                        "{'upsert':{'serviceTable':{'a.b c':{}}}}",
                        new RejectionCause.InvalidField(service, "configVersion", false)),
                Arguments.of(
                        "{'upsert':{'serviceTable':{'a.b c':{'configVersion':'r1'}}}}",
                        new RejectionCause.InvalidField(service, "healthPath", false)),
                Arguments.of(
                        "{'upsert':{'routeTable':{'x':{" + ROUTE + ",'weightedSplit':[{'service':'s'}]}}}}",
                        new RejectionCause.InvalidField(route, "weightedSplit[0].weight", false)),
                Arguments.of(
                        "{'upsert':{'routeTable':{'x':{" + ROUTE + ",'service':'s','weightedSplit':[]}}}}",
                        new RejectionCause.InvalidField(route, "service", true)),
                Arguments.of(
                        "{'upsert':{'routeTable':{'x':{" + ROUTE + ",'service':'none'}}}}",
                        new RejectionCause.UnknownService(route, "none")),
                Arguments.of("{'withdraw':{'limits':[]}}", new RejectionCause.WithdrawnTable("limits")),
                Arguments.of("{'withdraw':{'routeTable':{}}}", new RejectionCause.WithdrawnTable("routeTable")),
                Arguments.of("{'withdraw':{'routeTable':[7]}}", new RejectionCause.WithdrawnItem("routeTable", 0)),
                Arguments.of(
                        "{'withdraw':{'serviceTable':[{'name':'a.b c','configVersion':'r1'}]},"
                                + "'upsert':{'serviceTable':{'a.b c':{" + SERVICE + "}}}}",
                        new RejectionCause.UpsertedTable("serviceTable")));
    }

    @ParameterizedTest
    @MethodSource("changes")
    void causeNamesThePartOfTheChange(String change, RejectionCause cause) {
        byte[] body = change.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
        Either<Rejection, List<Item>> result =
                ConfigurationChange.read(body).flatMap(read -> read.applyTo(Configuration.EMPTY));
        assertThat(result.getLeft().cause()).isEqualTo(cause);
    }
}
