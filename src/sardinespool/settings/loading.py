"""Loading of settings files; all problems of a file are reported at once.

Relative paths in a file (``cluster_file``, ``data_folder``, certificates)
are relative to the folder of that file.
"""

import os
import pathlib
from typing import Any
from typing import TypeVar

import msgspec

from sardinespool.settings.cluster_checks import check_cluster
from sardinespool.settings.model import ClusterSettings
from sardinespool.settings.model import Settings
from sardinespool.settings.problems import ProblemList
from sardinespool.settings.problems import settings_error
from sardinespool.settings.program_checks import check_program
from sardinespool.settings.struct_checks import check_struct
from sardinespool.settings.yaml_file import read_yaml

T = TypeVar("T", bound=Settings)

_PATH_KEYS = ("data_folder", "tls_authority_file")
_TLS_PATH_KEYS = ("certificate_file", "key_file", "authority_file")


def load_settings(path: str | os.PathLike[str], settings_type: type[T]) -> T:
    """Read and validate a settings file.

    Parameters
    ----------
    path : str or path
        YAML file with the structure of `settings_type`. Instead of the
        ``cluster`` mapping, ``cluster_file`` may give the path of a file that
        holds it.
    settings_type : type
        Settings class to return.

    Raises
    ------
    SettingsError
        The file is invalid; ``details['problems']`` lists all problems with
        `file`, `key`, `found` and `allowed`.
    """
    settings_path = pathlib.Path(path)
    problems = ProblemList(str(settings_path))
    raw_settings = read_yaml(settings_path, problems)
    if raw_settings is None:
        raise settings_error(str(settings_path), problems.items)
    has_cluster = "cluster" in settings_type.__struct_fields__
    uses_cluster_file = has_cluster and "cluster_file" in raw_settings
    cluster = (
        _load_cluster_file(settings_path, raw_settings, problems)
        if uses_cluster_file
        else None
    )
    values = check_struct(settings_type, raw_settings, "", problems) or {}
    if uses_cluster_file:
        values.pop("cluster", None)
        if cluster is not None:
            values["cluster"] = cluster
    elif values.get("cluster") is not None:
        inline_problems = ProblemList(problems.file, "cluster", problems.items)
        _resolve_tls_paths(values["cluster"], settings_path)
        check_cluster(values["cluster"], inline_problems)
    if settings_type is ClusterSettings:
        _resolve_tls_paths(values, settings_path)
        check_cluster(values, problems)
    for key in _PATH_KEYS:
        if values.get(key):
            values[key] = str(settings_path.parent / values[key])
    check_program(settings_type, values, problems)
    if problems.items:
        raise settings_error(str(settings_path), problems.items)
    return msgspec.convert(values, settings_type)


def _load_cluster_file(
    settings_path: pathlib.Path,
    raw_settings: dict[str, Any],
    problems: ProblemList,
) -> dict[str, Any] | None:
    """Load ``cluster_file``; put a placeholder into `raw_settings`."""
    file_name = raw_settings.pop("cluster_file")
    if "cluster" in raw_settings:
        problems.add_description(
            "cluster_file",
            "both cluster and cluster_file",
            "one of cluster and cluster_file",
        )
    # The cluster file is validated with its own name, so that each problem
    # names the file that has to be corrected.
    raw_settings["cluster"] = _PLACEHOLDER_CLUSTER
    if not isinstance(file_name, str):
        problems.add("cluster_file", file_name, "the path of a YAML file")
        return None
    path = settings_path.parent / file_name
    cluster_problems = ProblemList(str(path), "", problems.items)
    mapping = read_yaml(path, cluster_problems)
    if mapping is None:
        return None
    cluster = check_struct(ClusterSettings, mapping, "", cluster_problems)
    if cluster is not None:
        _resolve_tls_paths(cluster, path)
        check_cluster(cluster, cluster_problems)
    return cluster


_PLACEHOLDER_CLUSTER: dict[str, Any] = {
    "failure_domains": [],
    "stores": [],
    "entries": [],
    "cluster_token": "",
    "credentials": [],
}


def _resolve_tls_paths(
    cluster: dict[str, Any], settings_path: pathlib.Path
) -> None:
    tls = cluster.get("tls")
    if tls is not None:
        for key in _TLS_PATH_KEYS:
            if tls.get(key):
                tls[key] = str(settings_path.parent / tls[key])
