"""Operator requests for patches and configuration versions."""

from sardinespool.messages.configuration import ApprovePatch
from sardinespool.messages.configuration import Configuration
from sardinespool.messages.configuration import ConfigurationStatus
from sardinespool.messages.configuration import ConfigurationStatusReply
from sardinespool.messages.configuration import ListPatches
from sardinespool.messages.configuration import ListVersions
from sardinespool.messages.configuration import PatchList
from sardinespool.messages.configuration import PatchReceipt
from sardinespool.messages.configuration import ReadConfiguration
from sardinespool.messages.configuration import RejectPatch
from sardinespool.messages.configuration import SubmitPatch
from sardinespool.messages.configuration import VersionList
from sardinespool.programs.entry.groups import GLOBAL_GROUP
from sardinespool.programs.entry.operator_bodies import ApprovalBody
from sardinespool.programs.entry.operator_bodies import PatchBody
from sardinespool.programs.entry.operator_bodies import read_body
from sardinespool.programs.entry.operator_bodies import read_number
from sardinespool.programs.entry.operator_call import OperatorCall


async def submit_patch(call: OperatorCall) -> PatchReceipt:
    """``POST patches``."""
    body = read_body(call.request, PatchBody)
    patch = SubmitPatch(
        patch_id=body.patch_id,
        base_version=body.base_version,
        changes=body.changes,
        author=call.operator,
    )
    return await call.call_group(GLOBAL_GROUP, patch, PatchReceipt)


async def approve_patch(call: OperatorCall) -> PatchReceipt:
    """``POST patches/<id>/approve``."""
    approval = ApprovePatch(
        patch_id=call.parameters[0],
        digest=read_body(call.request, ApprovalBody).digest,
        approver=call.operator,
    )
    return await call.call_group(GLOBAL_GROUP, approval, PatchReceipt)


async def reject_patch(call: OperatorCall) -> PatchReceipt:
    """``POST patches/<id>/reject``."""
    rejection = RejectPatch(
        patch_id=call.parameters[0], rejecter=call.operator
    )
    return await call.call_group(GLOBAL_GROUP, rejection, PatchReceipt)


async def list_patches(call: OperatorCall) -> PatchList:
    """``GET patches``."""
    return await call.call_group(GLOBAL_GROUP, ListPatches(), PatchList)


async def read_configuration(call: OperatorCall) -> Configuration:
    """``GET configuration``."""
    return await call.call_group(
        GLOBAL_GROUP, ReadConfiguration(), Configuration
    )


async def list_versions(call: OperatorCall) -> VersionList:
    """``GET versions?after=&limit=``."""
    versions = ListVersions(
        after_version=read_number(call.query, "after", 0),
        limit=read_number(call.query, "limit", 100),
    )
    return await call.call_group(GLOBAL_GROUP, versions, VersionList)


async def read_status(call: OperatorCall) -> ConfigurationStatusReply:
    """``GET status``."""
    return await call.call_group(
        GLOBAL_GROUP, ConfigurationStatus(), ConfigurationStatusReply
    )
