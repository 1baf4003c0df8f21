/** Time for which a node lends its share to a broker, counted by each side on its own clock. */
export const loanMilliseconds = 3_000;
/**
 * Time for which granted requests may be made. It is shorter than what is left of a loan that was renewed in time, so
 * that the loans behind a grant outlast it.
 */
export const grantMilliseconds = 1_200;
/** Interval at which a node renews its loan while it needs nothing. */
export const idleExchangeMilliseconds = 800;
/** Interval at which a node that holds granted requests renews them. */
export const activeExchangeMilliseconds = 550;
/** Minimum interval between messages to a broker. */
export const minimumExchangeMilliseconds = 10;
/** Time after which a broker that has not answered is replaced for `brokerExclusionMilliseconds`. */
export const brokerTimeoutMilliseconds = 400;
export const brokerExclusionMilliseconds = 5_000;
/** A node that connected more recently is not chosen as broker, since others may not be connected to it yet. */
export const brokerQualificationMilliseconds = 5_000;
/** Time for which a broker whose connection was lost stays chosen. */
export const reconnectionGraceMilliseconds = 300;
/**
 * Time after the start of a process before it owns a share: its predecessor may have lent the share, and nodes that
 * do not know this one yet divide by a smaller number.
 */
export const ownershipDelayMilliseconds = loanMilliseconds + 1_000;
/**
 * Time for which a request waits for the broker's answer. A round trip takes a few milliseconds; the rest allows for
 * event loops of machines with a quarter of a core. A refusal costs its caller more than this.
 */
export const holdMilliseconds = 150;
/** Minimum time before a node asks again for a tenant whose requests were not granted; it bounds the load of the broker. */
export const minimumDenialMilliseconds = 250;
/** Tenants are distributed over this number of brokers. Each broker costs every node a message per interval. */
export const brokerGroupCount = 2;
