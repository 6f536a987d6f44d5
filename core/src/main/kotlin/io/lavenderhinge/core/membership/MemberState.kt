package io.lavenderhinge.core.membership

/** What is known of a member. Only [LIVE] ones get new work. */
enum class MemberState {
    LIVE,
    LEAVING,
    SUSPECT,
    DEAD,
}
