package io.lavenderhinge.core.membership

/** State of a member as seen by this instance. Only [LIVE] members get new requests. */
enum class MemberState {
    LIVE,
    LEAVING,
    SUSPECT,
    DEAD,
}
