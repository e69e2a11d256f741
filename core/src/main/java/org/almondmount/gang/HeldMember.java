package org.almondmount.gang;

import org.almondmount.jobs.Attempt;

/**
 * A member that a worker holds or runs, as reported in its heartbeats.
 *
 * @param attempt the attempt
 * @param member the member's number
 * @param members how many members the gang has
 * @param running whether its task runs, or has succeeded and its end is not recorded yet;
 * false while the member is only held
 */
public record HeldMember(Attempt attempt, int member, int members, boolean running) {

}
