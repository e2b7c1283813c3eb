package larkbank.gangway;

/** Who answers the requests of a gangway. */
public interface Host {
    /** A whole request, on the loop; it is to be answered now or later. */
    void called(Call call);
}
