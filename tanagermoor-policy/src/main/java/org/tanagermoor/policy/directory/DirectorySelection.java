package org.tanagermoor.policy.directory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.Team;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.Rendezvous;

/** Selects the instances to which the callers of a team are sent. */
public final class DirectorySelection {

    /** The fewest instances for a team, so that the loss of one is borne by the others. */
    private static final int INSTANCES_LEAST = 3;

    /** The requests per second for which a team gets one more instance. */
    private static final double RATE_PER_INSTANCE = 50;

    /** There are no instances. */
    private DirectorySelection() {}

    /**
     * Selects instances.
     *
     * @param team The team of the caller, if it is known.
     * @param domain The failure domain of the caller; empty if it is not known.
     * @return The instances, those of the caller's failure domain first.
     */
    public static List<Member> select(Configuration configuration, Optional<Team> team, String domain) {
        List<Member> usable = configuration.usableMembers();
        List<Member> selected = new ArrayList<>(
                team.map(known -> ofTeam(configuration, known, usable)).orElse(usable));
        FailureDomain own = FailureDomain.of(domain);
        selected.sort(Comparator.comparing((Member member) -> !member.domain().equals(own)));
        return List.copyOf(selected);
    }

    /**
     * Returns the instances of a team.
     *
     * @param usable The instances to which callers may be sent.
     * @return The first ones by rendezvous of the name of the team.
     */
    private static List<Member> ofTeam(Configuration configuration, Team team, List<Member> usable) {
        double rate = team.ratePerSecond() * configuration.preset().rateFactor();
        int count = Math.max(INSTANCES_LEAST, (int) Math.ceil(rate / RATE_PER_INSTANCE));
        List<Member> ranked = Rendezvous.ranked(
                team.id().value(), usable, member -> member.id().name());
        return ranked.subList(0, Math.min(count, ranked.size()));
    }
}
